#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10 into
# target/review, from the root of the repository, after the build line of the
# deploy file.  They are the project's emulator of the platform, with more
# members, and the programs of the cases around it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
sed -e 's/kEmulatorMembers = 3/kEmulatorMembers = 11/' \
    test/platform/emulator.h >target/review/emulator.h
sed -e 's/m->address, m->index, kMemberSlots/m->address, m->index % 3, kMemberSlots/' \
    -e 's/^receive_statement(Client \*c, char \*line)$/emulator_receive(Client *c, char *line)/' \
    -e 's/^log_append(Emulator \*e, const char \*datum)$/emulator_log_append(Emulator *e, const char *datum)/' \
    -e 's/^    GHashTable \*prepared; .*$/&\n    GHashTable *values; \/* set on the connection, or NULL *\//' \
    -e 's/^\/\* ---- time ---- \*\/$/static gboolean receive_statement(Client *c, char *line);\nstatic void log_append(Emulator *e, const char *datum);\n\n&/' \
    test/platform/emulator.c >target/review/emulator.c
flags=$(pkg-config --cflags --libs libevent glib-2.0)
for name in 6 7 8 9 10; do
    source=review/$name/case.c
    [ -f "$source" ] || continue
    # shellcheck disable=SC2086
    cc -std=gnu11 -O1 -g -Wall -Wno-unused-function -Itarget/review \
        -o "target/review/case-$name" "$source" $flags
done
