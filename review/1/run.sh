#!/bin/sh
# Exit 0: the configuration could be read back; 1: it could not; 2: the case could not run. TROUBLE=0: no freeze and no
# loss of a disk.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../../target/review/standin" stuck "$here/../.." "$here/record.txt"
