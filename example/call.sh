#!/bin/bash
# One RESP command at an ingress of this machine: example/call.sh PORT WORD ...   Prints the answer.
exec 3<>"/dev/tcp/127.0.0.1/$1" || exit 1
shift
printf '*%d\r\n' $# >&3
for word in "$@"; do printf '$%d\r\n%s\r\n' ${#word} "$word" >&3; done
IFS= read -r -t 5 line <&3
line=${line%$'\r'}
case $line in \$*) IFS= read -r -t 5 line <&3; line=${line%$'\r'};; esac
echo "$line"
