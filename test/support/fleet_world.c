#include "fleet_world.h"

#include <stdio.h>
#include <string.h>

#include "core/message.h"

enum {
    kMs = 1000,
    kLinkUs = 1500,
    kHandshakeUs = 12000,
    kWorkUs = 9000,
    kTickUs = 20000,
    kBeatUs = 400000,
    kTimeoutMs = 800,
    kMaxConnections = 24,
    kSlots = 3,
    kSlotsMost = 8,
    kRateWindowMs = 5000,
    kRateSlack = 20,
    kStaleMs = 1500,
    kOldPrimaryUs = 1000000,
    kConfigApplyMs = 3000,
    kDrainMs = 7000,
    kLeaseMs =
        2000, /* longer than a suspicion, so that it must be waited for */
    kStatementsMax = 64,
    kSettleMs = 4000, /* a transaction's statements at their time limits */
};

typedef struct {
    uint64_t term;
    uint64_t write_id;
} LogEntry;

typedef struct {
    char *id;
    char *address;
    uint32_t database;
    uint32_t domain;
    gboolean up;
    gboolean dark; /* while down: says nothing at all */
    gboolean primary;
    gboolean draining;
    uint64_t draining_us;
    gboolean deaf; /* receives nothing of the log */
    uint64_t term;
    uint64_t sequence;
    GArray *log; /* LogEntry */
    uint32_t connections;
    uint64_t slot_free_us[kSlotsMost];
    uint64_t replaced_us; /* when another was promoted, zero: never */
} Member;

/* A connection of an entry instance to a member. */
typedef struct {
    uint32_t entry;
    uint64_t generation;
    const ServerEvents *events;
    void *owner; /* NULL: closed */
    Member *member;
    char *team;
    uint64_t busy_until_us;
    gboolean in_transaction;
    uint32_t statements;  /* of the open transaction */
    gboolean rolled_back; /* closed in a transaction: the rest never runs */
    gboolean failed;
    GArray *writes; /* uint64_t, of the open transaction */
    GHashTable *values;
} Link;

typedef struct {
    uint64_t id;
    uint64_t acked_us; /* zero: not acknowledged */
    gboolean promised; /* said to be not kept */
    uint32_t database;
    uint64_t rolled_back; /* by promotions */
} Write;

typedef struct {
    World *w;
    uint32_t index;
    uint32_t entry;
    Session *session;
    char *value;   /* that the session has set */
    uint32_t step; /* of the present try */
    uint32_t steps;
    gboolean transaction;
    gboolean writes;
    gboolean active;
    gboolean pending; /* an event will go on with the operation */
    uint32_t tries;
    uint64_t began_us;   /* the operation */
    uint64_t read_us;    /* the present statement or transaction */
    uint64_t write_id;   /* of the present try */
    uint64_t own_number; /* log length that it must see */
    uint64_t own_term;
    CallerAnswer answer; /* codes and state only */
} Caller;

typedef struct {
    World *w;
    uint32_t index;
    char *id;
    char *disk;
    Director *director; /* NULL: down */
    ConsensusSaved saved;
    uint64_t wipes;
} Control;

typedef struct {
    World *w;
    uint32_t index;
    char *id;
    Gateway *gateway;
} Entry;

typedef void (*EventRun)(World *w, void *data);

typedef struct {
    uint64_t due_us;
    uint64_t order;
    EventRun run;
    void *data;
    GDestroyNotify drop; /* frees the data of an event that never runs */
} Event;

struct World {
    uint64_t now_us;
    uint64_t order;
    GRand *rand;
    GSequence *events;
    Control controls[kWorldDomains];
    Entry entries[kWorldEntries];
    Member members[kWorldDatabases][kWorldMembers];
    Caller callers[kWorldCallers];
    GPtrArray *links;   /* Link, owned */
    GHashTable *writes; /* id -> Write, owned */
    GArray *runs;       /* uint64_t: times at which operations began to run */
    gboolean cut[kWorldDomains];
    uint64_t lag_us;
    uint64_t promote_us;
    uint32_t lose_percent;
    uint64_t max_unconfirmed_us;
    gboolean mute; /* members do not report */
    gboolean entries_apart;
    uint32_t teams;
    uint32_t max_connections; /* of a member */
    uint32_t slots;           /* of a member */
    gboolean settling;        /* no caller begins anything */
    gboolean sync; /* a replica has each commit before it is answered */
    uint64_t gap_us;
    uint64_t version;
    uint64_t acked_version;
    uint64_t acked_us;    /* when that was */
    uint64_t old_version; /* acknowledged long ago */
    GBytes *document;
    uint32_t rate;
    uint32_t least_rate;
    gboolean with_key;
    uint64_t last_write_us[kWorldDatabases];
    WorldReport report;
};

static const char *const kDatabaseNames[kWorldDatabases] = {"orders", "stock"};
static const char *const kDomainNames[kWorldDomains] = {"0", "1", "2"};
static const char kTeam[] = "crew";
static const char kKey[] = "key-of-crew";

/* ---- events ---- */

static int
event_compare(const void *a, const void *b, void *ctx)
{
    const Event *x = a;
    const Event *y = b;
    (void)ctx;
    if (x->due_us != y->due_us) {
        return x->due_us < y->due_us ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
later_owned(World *w, uint64_t delay_us, EventRun run, void *data,
            GDestroyNotify drop)
{
    Event *e = g_new(Event, 1);
    *e = (Event){w->now_us + delay_us, ++w->order, run, data, drop};
    g_sequence_insert_sorted(w->events, e, event_compare, NULL);
}

static void
later(World *w, uint64_t delay_us, EventRun run, void *data)
{
    later_owned(w, delay_us, run, data, NULL);
}

static void
drop_event(void *event, void *ctx)
{
    Event *e = event;
    (void)ctx;
    if (e->drop != NULL) {
        e->drop(e->data);
    }
}

static gboolean
reachable(const World *w, uint32_t a, uint32_t b)
{
    return a == b || (!w->cut[a] && !w->cut[b]);
}

static uint32_t
percent(World *w)
{
    return (uint32_t)g_rand_int_range(w->rand, 0, 100);
}

/* ---- members ---- */

static uint64_t
log_length(const Member *m)
{
    return m->log->len;
}

static const LogEntry *
log_entry(const Member *m, uint64_t i)
{
    return &g_array_index(m->log, LogEntry, i);
}

static Member *
primary_of(World *w, uint32_t database)
{
    Member *best = NULL;
    for (uint32_t i = 0; i < kWorldMembers; i++) {
        Member *m = &w->members[database][i];
        if (m->primary && (best == NULL || m->term > best->term)) {
            best = m;
        }
    }
    return best;
}

typedef struct {
    Member *from;
    Member *to;
    uint64_t length;
    uint64_t term;
} Replication;

static void
replicate(World *w, void *data)
{
    Replication *r = data;
    gboolean passes = r->from->up && r->to->up && !r->to->deaf &&
                      r->from->primary && !r->to->primary &&
                      r->from->term == r->term && r->to->term <= r->term &&
                      reachable(w, r->from->domain, r->to->domain) &&
                      primary_of(w, r->from->database) == r->from;

    if (passes && (r->to->term < r->term || log_length(r->to) < r->length)) {
        r->to->term = r->term;
        g_array_set_size(r->to->log, 0);
        g_array_append_vals(r->to->log, r->from->log->data, (guint)r->length);
    }
    g_free(r);
}

static void
replicate_all(World *w, Member *from)
{
    for (uint32_t i = 0; i < kWorldMembers; i++) {
        Member *to = &w->members[from->database][i];
        if (to != from) {
            Replication *r = g_new(Replication, 1);
            *r = (Replication){from, to, log_length(from), from->term};
            later_owned(w, kLinkUs + w->lag_us, replicate, r, g_free);
        }
    }
}

static void
commit(World *w, Link *l, uint64_t write_id)
{
    Member *m = l->member;
    LogEntry e = {m->term, write_id};

    for (uint64_t i = 0; i < log_length(m); i++) {
        w->report.doubled += log_entry(m, i)->write_id == write_id;
    }
    g_array_append_val(m->log, e);
    replicate_all(w, m);
}

/* Whether the log of a member holds what a read must see. */
static void
check_read(World *w, Link *l)
{
    const Caller *c = NULL;
    Member *m = l->member;
    GHashTableIter it;
    void *value;

    if (l->owner == NULL) {
        /* Given up meanwhile: nobody is told what it reads. */
        return;
    }
    for (uint32_t i = 0; i < kWorldCallers; i++) {
        if (w->callers[i].active &&
            g_strcmp0(w->callers[i].value,
                      g_hash_table_lookup(l->values, "who")) == 0) {
            c = &w->callers[i];
        }
    }
    if (c == NULL) {
        w->report.wrong_state++;
        return;
    }
    g_hash_table_iter_init(&it, w->writes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Write *wr = value;
        if (wr->database != m->database || wr->acked_us == 0 ||
            wr->rolled_back > 0 ||
            wr->acked_us + kStaleMs * kMs >= c->read_us) {
            continue;
        }
        gboolean held = FALSE;
        for (uint64_t i = log_length(m); i > 0 && !held; i--) {
            held = log_entry(m, i - 1)->write_id == wr->id;
        }
        w->report.stale += !held;
    }
}

/* ---- running commands ---- */

typedef struct {
    Link *link;
    CommandKind kind;
    char *text;
    char *name;
    char *value;
    Position after;
    uint64_t term; /* of the member when it came */
} Command;

typedef struct {
    Link *link;
    AnswerCode code;
    SessionState state;
    Position position;
    gboolean commits;
} Reply;

/* Whether a replica has all that the primary had when it answered. */
static gboolean
replica_has(World *w, const Reply *r)
{
    for (uint32_t i = 0; i < kWorldMembers; i++) {
        const Member *m = &w->members[r->link->member->database][i];
        if (m != r->link->member && m->term >= r->position.term &&
            log_length(m) >= r->position.number) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
deliver(World *w, void *data)
{
    Reply *r = data;
    char position[48];
    gboolean lost = r->code == kCodeNone && w->lose_percent > 0 &&
                    percent(w) < w->lose_percent;

    if (w->sync && r->commits && r->link->member->up && !replica_has(w, r)) {
        later_owned(w, kLinkUs, deliver, r, g_free);
        return;
    }
    if (r->link->owner != NULL && r->link->member->up &&
        reachable(w, r->link->member->domain,
                  r->link->entry % kWorldDomains)) {
        g_snprintf(position, sizeof(position),
                   "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                   r->position.term, r->position.number);
        ServerAnswer a = {.code = r->code,
                          .code_text = "",
                          .detail = "",
                          .tag = "proof",
                          .state = r->state,
                          .position = r->position,
                          .position_text = position};
        if (lost) {
            r->link->events->down(r->link->owner, w->now_us, kCodeTimeout);
        }
        else {
            r->link->events->answer(r->link->owner, w->now_us, &a);
        }
    }
    g_free(r);
}

static AnswerCode
run_write(World *w, Link *l, const char *text)
{
    uint64_t id = g_ascii_strtoull(text + strlen("WRITE item "), NULL, 10);

    if (!l->member->primary) {
        return kCodeReadOnly;
    }
    if (l->in_transaction) {
        g_array_append_val(l->writes, id);
        return kCodeNone;
    }
    commit(w, l, id);
    return kCodeNone;
}

/* A statement runs on a connection of the team whose caller sent it. */
static void
check_team(World *w, const Link *l)
{
    const char *who = g_hash_table_lookup(l->values, "who");
    char team[24];
    unsigned index;

    if (l->owner == NULL || who == NULL ||
        sscanf(who, "caller-%u", &index) != 1) {
        return;
    }
    g_snprintf(team, sizeof(team), "%s-%u", kTeam, index % w->teams);
    w->report.foreign += strcmp(l->team, team) != 0;
}

static AnswerCode
run_statement(World *w, Link *l, const char *text)
{
    check_team(w, l);
    if (!l->in_transaction || l->statements++ == 0) {
        g_array_append_val(w->runs, w->now_us);
    }
    w->report.after_drain +=
        l->member->draining && !l->in_transaction &&
        w->now_us > l->member->draining_us + (uint64_t)kDrainMs * kMs;
    if (strcmp(text, "COMMIT") == 0) {
        AnswerCode code = kCodeNone;
        if (l->writes->len > 0 && !l->member->primary) {
            code = kCodeReadOnly;
        }
        for (guint i = 0; code == kCodeNone && i < l->writes->len; i++) {
            commit(w, l, g_array_index(l->writes, uint64_t, i));
        }
        g_array_set_size(l->writes, 0);
        l->in_transaction = FALSE;
        return code;
    }
    if (g_str_has_prefix(text, "WRITE")) {
        return run_write(w, l, text);
    }
    check_read(w, l);
    w->report.replica_reads += !l->member->primary;
    return kCodeNone;
}

static AnswerCode
run_command(World *w, Link *l, const Command *c)
{
    Member *m = l->member;

    if (c->after.term > m->term || c->after.number > log_length(m)) {
        return kCodeLagging;
    }
    switch (c->kind) {
    case kCommandReset:
        g_hash_table_remove_all(l->values);
        return kCodeNone;
    case kCommandSet:
        g_hash_table_replace(l->values, g_strdup(c->name), g_strdup(c->value));
        return kCodeNone;
    case kCommandBegin:
        if (!m->primary) {
            return kCodeReadOnly;
        }
        l->in_transaction = TRUE;
        l->statements = 0;
        return kCodeNone;
    case kCommandBeginRead:
        l->in_transaction = TRUE;
        l->statements = 0;
        return kCodeNone;
    case kCommandRollback:
        l->in_transaction = FALSE;
        g_array_set_size(l->writes, 0);
        return kCodeNone;
    case kCommandStatement:
        return run_statement(w, l, c->text);
    case kCommandPrepare:
    case kCommandStatus:
    case kCommandStepDown:
        break;
    }
    return kCodeNone;
}

static void
command_free(void *data)
{
    Command *c = data;
    g_free(c->text);
    g_free(c->name);
    g_free(c->value);
    g_free(c);
}

static void
command_run(World *w, void *data)
{
    Command *c = data;
    Link *l = c->link;

    if (l->member->up && !l->rolled_back) {
        Reply *r = g_new0(Reply, 1);
        uint64_t before = log_length(l->member);
        r->link = l;
        r->code = run_command(w, l, c);
        if (r->code != kCodeNone && l->in_transaction) {
            l->in_transaction = FALSE;
            g_array_set_size(l->writes, 0);
            r->state = kSessionFailed;
        }
        else {
            r->state =
                l->in_transaction ? kSessionInTransaction : kSessionIdle;
        }
        r->position = (Position){l->member->term, log_length(l->member)};
        r->commits = r->position.number > before;
        later_owned(w, kLinkUs, deliver, r, g_free);
    }
    command_free(c);
}

/* Takes the slot that is free first for a piece of work that comes at a time;
 * returns when it is done. */
static uint64_t
slot_take(const World *w, Member *m, uint64_t from_us, uint64_t work_us)
{
    uint32_t best = 0;

    for (uint32_t i = 1; i < w->slots; i++) {
        if (m->slot_free_us[i] < m->slot_free_us[best]) {
            best = i;
        }
    }
    m->slot_free_us[best] = MAX(m->slot_free_us[best], from_us) + work_us;
    return m->slot_free_us[best];
}

/* ---- the gateways' port ---- */

static void
link_opened(World *w, void *data)
{
    Link *l = data;
    gboolean passes =
        reachable(w, l->member->domain, l->entry % kWorldDomains);

    if (l->owner == NULL) {
        return;
    }
    if (!passes || (!l->member->up && l->member->dark)) {
        return;
    }
    if (!l->member->up) {
        l->events->down(l->owner, w->now_us, kCodeTimeout);
        return;
    }
    if (l->member->connections > w->max_connections) {
        l->events->down(l->owner, w->now_us, kCodeTooMany);
        return;
    }
    l->events->ready(l->owner, w->now_us);
}

static Member *
member_by_id(World *w, const char *id)
{
    for (uint32_t d = 0; d < kWorldDatabases; d++) {
        for (uint32_t i = 0; i < kWorldMembers; i++) {
            if (strcmp(w->members[d][i].id, id) == 0) {
                return &w->members[d][i];
            }
        }
    }
    return NULL;
}

static void *
port_server_open(void *ctx, const ServerEvents *events, void *owner,
                 const char *address, const char *database, const char *team,
                 const char *server_id)
{
    Entry *e = ctx;
    Link *l = g_new0(Link, 1);

    (void)address;
    (void)database;
    l->entry = e->index;
    l->events = events;
    l->owner = owner;
    l->member = member_by_id(e->w, server_id);
    l->team = g_strdup(team);
    l->writes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    l->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->member->connections++;
    g_ptr_array_add(e->w->links, l);
    uint64_t welcome_us =
        slot_take(e->w, l->member, e->w->now_us + kLinkUs, kHandshakeUs);
    later(e->w, welcome_us - e->w->now_us, link_opened, l);
    return l;
}

static void
port_server_send(void *ctx, void *link, const ServerCommand *commands,
                 size_t count)
{
    Entry *e = ctx;
    World *w = e->w;
    Link *l = link;

    if (!reachable(w, l->member->domain, e->index % kWorldDomains)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        Command *c = g_new0(Command, 1);
        l->busy_until_us = MAX(l->busy_until_us, w->now_us + kLinkUs);
        if (commands[i].kind == kCommandStatement) {
            l->busy_until_us =
                slot_take(w, l->member, l->busy_until_us, kWorkUs);
        }
        *c = (Command){.link = l,
                       .kind = commands[i].kind,
                       .text = g_strdup(commands[i].text),
                       .name = g_strdup(commands[i].name),
                       .value = g_strdup(commands[i].value),
                       .after = commands[i].after};
        later_owned(w, l->busy_until_us - w->now_us, command_run, c,
                    command_free);
    }
}

static void
port_server_close(void *ctx, void *link)
{
    Link *l = link;
    (void)ctx;
    l->owner = NULL;
    l->member->connections--;
    l->rolled_back = l->in_transaction;
    l->in_transaction = FALSE;
    g_array_set_size(l->writes, 0);
}

/* ---- frames ---- */

typedef struct {
    uint32_t from_domain;
    uint32_t to_domain;
    char *from;
    char *to;
    Sw__Frame *frame;
} Letter;

/* A configuration that was acknowledged long ago must be in force. */
static void
check_version(World *w, const Entry *e)
{
    uint64_t version = gateway_version(e->gateway);

    if (w->acked_version > w->old_version &&
        w->now_us > w->acked_us + kConfigApplyMs * kMs) {
        w->old_version = w->acked_version;
    }
    w->report.reverted += version != 0 && version < w->old_version;
}

static void
letter_free(void *data)
{
    Letter *l = data;
    sw__frame__free_unpacked(l->frame, NULL);
    g_free(l->from);
    g_free(l->to);
    g_free(l);
}

static void
letter_arrive(World *w, void *data)
{
    Letter *l = data;

    if (reachable(w, l->from_domain, l->to_domain)) {
        for (uint32_t i = 0; i < kWorldDomains; i++) {
            Control *c = &w->controls[i];
            if (c->director != NULL && strcmp(c->id, l->to) == 0) {
                director_handle_frame(c->director, w->now_us, l->from,
                                      l->frame);
                director_flush(c->director, w->now_us);
            }
        }
        for (uint32_t i = 0; i < kWorldEntries; i++) {
            if (strcmp(w->entries[i].id, l->to) == 0) {
                gateway_frame(w->entries[i].gateway, w->now_us, l->from,
                              l->frame);
                check_version(w, &w->entries[i]);
            }
        }
    }
    letter_free(l);
}

static uint32_t
domain_of(const char *id)
{
    return (uint32_t)(id[1] - '0') % kWorldDomains;
}

static void
letter_send(World *w, const char *from, const char *to, const Sw__Frame *f)
{
    Letter *l = g_new(Letter, 1);
    *l = (Letter){domain_of(from), domain_of(to), g_strdup(from), g_strdup(to),
                  message_copy(f)};
    later_owned(w, kLinkUs, letter_arrive, l, letter_free);
}

static void
port_peer_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Entry *e = ctx;
    letter_send(e->w, e->id, to, frame);
}

static void
port_director_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Control *c = ctx;
    letter_send(c->w, c->id, to, frame);
}

static void
port_add_peer(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
}

static gboolean
port_peer_ready(void *ctx, const char *address)
{
    const Entry *e = ctx;
    if (e->w->entries_apart && address[0] == 'e') {
        return FALSE;
    }
    return reachable(e->w, e->index % kWorldDomains, domain_of(address));
}

static uint64_t
random_of(World *w)
{
    return (uint64_t)g_rand_int(w->rand) << 20 | g_rand_int(w->rand);
}

static uint64_t
port_control_random(void *ctx)
{
    return random_of(((Control *)ctx)->w);
}

/* ---- control ---- */

static gboolean
store_vote(void *ctx, uint64_t term, const char *voted_for)
{
    Control *c = ctx;
    g_free(c->saved.voted_for);
    c->saved.voted_for = g_strdup(voted_for);
    c->saved.term = term;
    return TRUE;
}

static gboolean
store_truncate(void *ctx, uint64_t from_index)
{
    Control *c = ctx;
    GPtrArray *entries = c->saved.entries;
    while (entries->len > 0 &&
           ((ConsensusEntry *)g_ptr_array_index(entries, entries->len - 1))
                   ->index >= from_index) {
        g_ptr_array_set_size(entries, (gint)entries->len - 1);
    }
    return TRUE;
}

static gboolean
store_entry(void *ctx, uint64_t index, uint64_t term, GBytes *command)
{
    Control *c = ctx;
    store_truncate(c, index);
    g_ptr_array_add(c->saved.entries,
                    consensus_entry_new(index, term, g_bytes_ref(command)));
    return TRUE;
}

static gboolean
store_snapshot(void *ctx, uint64_t index, uint64_t term, GBytes *snapshot,
               const GPtrArray *entries)
{
    Control *c = ctx;
    GPtrArray *kept = g_ptr_array_new_with_free_func(consensus_entry_free);

    for (guint i = 0; i < entries->len; i++) {
        const ConsensusEntry *e = g_ptr_array_index(entries, i);
        g_ptr_array_add(kept, consensus_entry_new(e->index, e->term,
                                                  g_bytes_ref(e->command)));
    }
    g_ptr_array_unref(c->saved.entries);
    c->saved.entries = kept;
    g_clear_pointer(&c->saved.snapshot, g_bytes_unref);
    c->saved.snapshot = g_bytes_ref(snapshot);
    c->saved.snapshot_index = index;
    c->saved.snapshot_term = term;
    return TRUE;
}

static gboolean
store_sync(void *ctx)
{
    (void)ctx;
    return TRUE;
}

static void
port_operator_answer(void *ctx, void *request, uint32_t status,
                     const void *text, size_t bytes)
{
    Control *c = ctx;
    (void)text;
    (void)bytes;
    uint64_t version = GPOINTER_TO_SIZE(request);
    if (status == 200 && version > c->w->acked_version) {
        c->w->acked_version = version;
        c->w->acked_us = c->w->now_us;
    }
}

typedef struct {
    Control *control;
    Member *member;
    uint64_t requested_us;
} Question;

static void
status_answer(World *w, void *data)
{
    Question *q = data;
    Member *m = q->member;
    DirectorStatus s = {0};

    if (q->control->director != NULL) {
        if (m->up && reachable(w, q->control->index, m->domain)) {
            s = (DirectorStatus){.responded = TRUE,
                                 .log_valid = TRUE,
                                 .primary = m->primary,
                                 .log = {m->term, log_length(m)},
                                 .term = m->term};
        }
        s.requested_us = q->requested_us;
        director_handle_status(q->control->director, w->now_us, m->id, &s);
        director_flush(q->control->director, w->now_us);
    }
    g_free(q);
}

static void
port_status_ask(void *ctx, const char *server, const char *database,
                const char *address)
{
    Control *c = ctx;
    Question *q = g_new(Question, 1);
    (void)database;
    (void)address;
    *q = (Question){c, member_by_id(c->w, server), c->w->now_us};
    later_owned(c->w, kHandshakeUs + 2 * kLinkUs, status_answer, q, g_free);
}

static void
old_primary_yields(World *w, void *data)
{
    Member *m = data;
    Member *p = primary_of(w, m->database);
    if (m->up && p != m && p->up && reachable(w, m->domain, p->domain)) {
        m->primary = FALSE;
        replicate_all(w, p);
        return;
    }
    if (m->primary && p != m) {
        later(w, kOldPrimaryUs / 4, old_primary_yields, m);
    }
}

static void
port_step_down(void *ctx, const char *server, const char *database,
               const char *address, uint64_t term)
{
    Control *c = ctx;
    Member *m = member_by_id(c->w, server);

    (void)database;
    (void)address;
    if (m->up && m->term < term && reachable(c->w, c->index, m->domain)) {
        later(c->w, kHandshakeUs + kLinkUs, old_primary_yields, m);
    }
}

static void
count_rolled_back(World *w, const Member *old, const Member *fresh)
{
    for (uint64_t i = 0; i < log_length(old); i++) {
        uint64_t id = log_entry(old, i)->write_id;
        Write *wr = g_hash_table_lookup(w->writes, &id);
        gboolean held = FALSE;
        for (uint64_t k = 0; k < log_length(fresh) && !held; k++) {
            held = log_entry(fresh, k)->write_id == id;
        }
        if (!held && wr != NULL) {
            wr->rolled_back++;
            w->report.rolled_back += wr->acked_us != 0;
        }
    }
}

static void
promotion_effect(World *w, void *data)
{
    Question *q = data;
    Member *m = q->member;
    Member *old = primary_of(w, m->database);

    if (m->up && old != m) {
        count_rolled_back(w, old, m);
        m->term = old->term + 1;
        m->primary = TRUE;
        old->replaced_us = w->now_us;
        w->report.promotions++;
        replicate_all(w, m);
        later(w, kOldPrimaryUs, old_primary_yields, old);
    }
    g_free(q);
}

static void
port_promote(void *ctx, const char *database, const char *server,
             uint64_t fence)
{
    Control *c = ctx;
    Question *q = g_new(Question, 1);
    (void)fence;
    *q = (Question){c, member_by_id(c->w, server), c->w->now_us};
    later_owned(c->w, c->w->promote_us, promotion_effect, q, g_free);
    director_handle_promotion(c->director, c->w->now_us, database, server,
                              200);
}

/* The documents of this world: "version rate key sync teams connections". */
static Document *
decode(const uint8_t *text, size_t bytes)
{
    unsigned long version;
    unsigned rate;
    unsigned with_key;
    unsigned sync;
    unsigned teams;
    unsigned connections;
    char copy[64];

    g_strlcpy(copy, (const char *)text, MIN(bytes + 1, sizeof(copy)));
    if (sscanf(copy, "%lu %u %u %u %u %u", &version, &rate, &with_key, &sync,
               &teams, &connections) != 6) {
        return NULL;
    }
    Document *d = document_new(version);
    d->transaction_idle_us = 3000 * kMs;
    for (unsigned i = 0; i < teams; i++) {
        DocumentTeam *t = g_new0(DocumentTeam, 1);
        t->name = g_strdup_printf("%s-%u", kTeam, i);
        t->rate_milli_per_s = (uint64_t)rate * 1000;
        t->burst_milli = (uint64_t)rate * 1000;
        g_hash_table_insert(d->teams, t->name, t);
        if (with_key != 0) {
            g_hash_table_insert(d->keys, g_strdup_printf("%s-%u", kKey, i), t);
        }
    }
    for (uint32_t i = 0; i < kWorldDatabases; i++) {
        DocumentDatabase *b = g_new0(DocumentDatabase, 1);
        b->name = g_strdup(kDatabaseNames[i]);
        b->max_connections = connections;
        b->sync_replicas = sync;
        g_hash_table_insert(d->databases, b->name, b);
        DocumentRoute *r = g_new0(DocumentRoute, 1);
        r->host = g_strdup(kDatabaseNames[i]);
        r->path_prefix = g_strdup("/");
        r->database = g_strdup(kDatabaseNames[i]);
        r->consistency = kConsistencyReadYourWrites;
        r->timeout_us = (uint64_t)kTimeoutMs * kMs;
        r->target_us = 250 * kMs;
        r->max_staleness_us = (uint64_t)kStaleMs * kMs;
        g_hash_table_insert(d->routes, r->host, r);
    }
    return d;
}

static void
control_start(Control *c, gboolean first)
{
    World *w = c->w;
    DirectorConfig config = {.id = c->id,
                             .disk = c->disk,
                             .failure_domain = "",
                             .timing = {80 * kMs, 300 * kMs, 550 * kMs, 16},
                             .lease_us = kLeaseMs * kMs,
                             .rate_window_us = kRateWindowMs * kMs,
                             .decode = decode,
                             .losses = 1};
    DirectorPort port = {.ctx = c,
                         .send = port_director_send,
                         .add_peer = port_add_peer,
                         .random = port_control_random,
                         .operator_reply = port_operator_answer,
                         .request_status = port_status_ask,
                         .step_down = port_step_down,
                         .promote = port_promote,
                         .storage = {c, store_vote, store_entry,
                                     store_truncate, store_snapshot,
                                     store_sync}};
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);

    for (uint32_t i = 0; i < kWorldDomains; i++) {
        const Control *each = &w->controls[i];
        g_ptr_array_add(members, consensus_member_new(each->id, each->disk,
                                                      each->id, "", TRUE));
    }
    c->director = director_new(&config, &port);
    for (uint32_t i = 0; i < kWorldDomains; i++) {
        director_add_peer(c->director, w->controls[i].id);
    }
    g_assert(director_start(c->director, w->now_us, &c->saved,
                            first ? members : NULL, NULL));
    g_ptr_array_unref(members);
}

/* ---- callers ---- */

static void caller_next(World *w, void *data);

static void
caller_statement(Caller *c, StatementKind kind, const char *text)
{
    char id[24];
    g_snprintf(id, sizeof(id), "%u", c->index);
    Statement st = {.kind = kind,
                    .id = id,
                    .text = text,
                    .name = "who",
                    .value = c->value,
                    .prepared_text = "",
                    .arguments = ""};
    session_statement(c->session, c->w->now_us, &st);
}

static void
operation_end(Caller *c, gboolean served)
{
    World *w = c->w;

    c->active = FALSE;
    w->report.served += served;
    w->report.refused += !served;
    later(w, w->gap_us / 2 + random_of(w) % (w->gap_us + 1), caller_next, c);
}

static Write *
write_new(Caller *c)
{
    World *w = c->w;
    Write *wr = g_new0(Write, 1);
    wr->id = ++w->order;
    wr->database = c->index % kWorldDatabases;
    c->write_id = wr->id;
    g_hash_table_insert(w->writes, &wr->id, wr);
    return wr;
}

/* Goes on with a caller's operation after a while. */
static void
go_on(Caller *c, uint64_t delay_us, EventRun run)
{
    c->pending = TRUE;
    later(c->w, delay_us, run, c);
}

/* Sends the statement of the present step. */
static void
caller_step(World *w, void *data)
{
    Caller *c = data;
    char text[64];
    gboolean last = c->step + 1 == c->steps;

    c->pending = FALSE;
    if (c->session == NULL) {
        operation_end(c, FALSE);
        return;
    }
    if (c->transaction && c->step == 0) {
        c->read_us = w->now_us;
        caller_statement(c, c->writes ? kStatementBegin : kStatementBeginRead,
                         "BEGIN");
        return;
    }
    if (c->transaction && last) {
        caller_statement(c, kStatementCommit, "COMMIT");
        return;
    }
    if (!c->transaction) {
        c->read_us = w->now_us;
    }
    if (c->writes && c->step + 1 >= c->steps - c->transaction) {
        write_new(c);
        g_snprintf(text, sizeof(text), "WRITE item %" G_GUINT64_FORMAT,
                   c->write_id);
        caller_statement(c, kStatementWrite, text);
        return;
    }
    caller_statement(c, kStatementRead, "READ item");
}

static void
caller_try(World *w, void *data)
{
    Caller *c = data;
    c->step = 0;
    c->write_id = 0;
    caller_step(w, c);
}

static gboolean
is_promise(AnswerCode code)
{
    return code == kCodeBusy || code == kCodeAborted || code == kCodeLagging ||
           code == kCodeReadOnly || code == kCodeMisrouted ||
           code == kCodeTooMany;
}

/* How long a database has been without an acknowledged write. */
static void
note_gap(World *w, uint32_t database)
{
    if (w->last_write_us[database] != 0) {
        w->report.longest_write_gap_us =
            MAX(w->report.longest_write_gap_us,
                w->now_us - w->last_write_us[database]);
    }
}

static void
note_acked(Caller *c)
{
    World *w = c->w;
    Write *wr = g_hash_table_lookup(w->writes, &c->write_id);
    Member *p = primary_of(w, c->index % kWorldDatabases);
    gboolean held = FALSE;

    wr->acked_us = w->now_us;
    for (uint64_t i = log_length(p); i > 0 && !held; i--) {
        held = log_entry(p, i - 1)->write_id == wr->id;
    }
    /* Neither in the present primary's log nor lost with a promotion that
     * came after the commit. */
    w->report.fenced += !held && wr->rolled_back == 0;
    note_gap(w, c->index % kWorldDatabases);
    w->last_write_us[c->index % kWorldDatabases] = w->now_us;
}

/* The answer to the present step. */
static void
caller_answered(World *w, void *data)
{
    Caller *c = data;
    AnswerCode code = c->answer.code;
    gboolean last = c->step + 1 == c->steps;

    c->pending = FALSE;
    if (code == kCodeNone && !last) {
        c->step++;
        go_on(c, c->transaction ? 20 * kMs : 0, caller_step);
        return;
    }
    if (code == kCodeNone) {
        if (c->writes) {
            note_acked(c);
        }
        operation_end(c, TRUE);
        return;
    }
    if (is_promise(code) && c->write_id != 0) {
        ((Write *)g_hash_table_lookup(w->writes, &c->write_id))->promised =
            TRUE;
    }
    w->report.in_doubt += code == kCodeInDoubt;
    w->report.no_auth += code == kCodeNoAuth;
    if (c->answer.state == kSessionFailed && c->session != NULL) {
        /* Ends at once; a new try begins in a new transaction. */
        caller_statement(c, kStatementRollback, "ROLLBACK");
    }
    if (is_promise(code) && ++c->tries <= 2) {
        go_on(c, 50 * kMs, caller_try);
        return;
    }
    operation_end(c, FALSE);
}

static void
port_caller_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    Caller *c = caller;

    (void)ctx;
    if (!c->active) {
        return;
    }
    if (c->answer.state == kSessionFailed && c->answer.code != kCodeNone &&
        a->code == kCodeNone && a->tag == NULL && a->state == kSessionIdle) {
        c->answer = *a;
        return;
    }
    c->answer = *a;
    go_on(c, 2 * kLinkUs, caller_answered);
}

static void
port_caller_close(void *ctx, void *caller)
{
    (void)ctx;
    ((Caller *)caller)->session = NULL;
}

static void
open_session(World *w, Caller *c)
{
    AnswerCode code;
    char key[32];

    g_snprintf(key, sizeof(key), "%s-%u", kKey, c->index % w->teams);
    c->entry = (c->entry + 1) % kWorldEntries;
    c->session =
        session_open(w->entries[c->entry].gateway, w->now_us, c,
                     kDatabaseNames[c->index % kWorldDatabases], key, &code);
    w->report.no_auth += code == kCodeNoAuth;
    if (c->session != NULL) {
        /* Not active: the answer to SET is not an operation's. */
        caller_statement(c, kStatementSet, "SET");
    }
}

static void
caller_next(World *w, void *data)
{
    Caller *c = data;
    uint32_t dice = percent(w);

    if (w->settling) {
        return;
    }
    if (c->session != NULL && percent(w) < 5) {
        session_close(c->session, w->now_us);
        c->session = NULL;
    }
    if (c->session == NULL) {
        open_session(w, c);
    }
    w->report.operations++;
    c->active = TRUE;
    c->tries = 0;
    c->began_us = w->now_us;
    c->writes = dice < 30;
    c->transaction = dice % 4 == 0;
    c->steps = c->transaction ? 4 : 1;
    c->answer = (CallerAnswer){0};
    caller_try(w, c);
}

/* ---- time ---- */

static void
tick(World *w, void *data)
{
    for (uint32_t i = 0; i < kWorldDomains; i++) {
        if (w->controls[i].director != NULL) {
            director_tick(w->controls[i].director, w->now_us);
            director_flush(w->controls[i].director, w->now_us);
        }
    }
    for (uint32_t i = 0; i < kWorldEntries; i++) {
        gateway_tick(w->entries[i].gateway, w->now_us);
    }
    later(w, kTickUs, tick, data);
}

static void
beat(World *w, void *data)
{
    Member *m = data;
    char id[64];

    if (m->up && !w->mute) {
        Sw__ServerRecord r = SW__SERVER_RECORD__INIT;
        g_strlcpy(id, m->id, sizeof(id));
        r.id = id;
        r.database = (char *)kDatabaseNames[m->database];
        r.address = m->address;
        r.failure_domain = (char *)kDomainNames[m->domain];
        r.draining = m->draining;
        r.primary = m->primary;
        r.born_ms = 1;
        r.sequence = ++m->sequence;
        r.slots = w->slots;
        for (uint32_t i = 0; i < kWorldDomains; i++) {
            Control *c = &w->controls[(i + m->sequence) % kWorldDomains];
            if (c->director != NULL && reachable(w, c->index, m->domain)) {
                director_handle_server_report(c->director, w->now_us, &r);
                director_flush(c->director, w->now_us);
                break;
            }
        }
    }
    later(w, kBeatUs, beat, m);
}

static void
operator_send(World *w, void *data)
{
    size_t size;
    const void *text = g_bytes_get_data(w->document, &size);

    if (w->acked_version < w->version) {
        Control *c = &w->controls[random_of(w) % kWorldDomains];
        if (c->director != NULL) {
            director_put_document(c->director, w->now_us,
                                  GSIZE_TO_POINTER(w->version), w->version,
                                  text, size);
            director_flush(c->director, w->now_us);
        }
        later(w, 200 * kMs, operator_send, data);
    }
}

/* Lets the operator set the team's rate and whether its key is valid. */
void
world_configure(World *w, uint32_t rate, gboolean with_key)
{
    char text[64];
    w->version += 3;
    w->rate = rate;
    w->with_key = with_key;
    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT " %u %d %d %u %u",
               w->version, rate, with_key, w->sync, w->teams,
               w->max_connections);
    if (w->document != NULL) {
        g_bytes_unref(w->document);
    }
    w->document = g_bytes_new(text, strlen(text) + 1);
    operator_send(w, NULL);
}

/* Returns the version that the operator has an acknowledgement for. */
uint64_t
world_version(const World *w)
{
    return w->acked_version;
}

static void
entry_start(World *w, uint32_t i)
{
    Entry *e = &w->entries[i];
    char *id = g_strdup_printf("e%u", i);
    GatewayConfig config = {.id = id,
                            .failure_domain = kDomainNames[i % kWorldDomains],
                            .incarnation = random_of(w),
                            .max_unconfirmed_us = w->max_unconfirmed_us,
                            .server_drain_us = kDrainMs * kMs,
                            .decode = decode};
    GatewayPort port = {.ctx = e,
                        .caller_answer = port_caller_answer,
                        .caller_close = port_caller_close,
                        .server_open = port_server_open,
                        .server_send = port_server_send,
                        .server_close = port_server_close,
                        .peer_send = port_peer_send,
                        .add_peer = port_add_peer,
                        .peer_ready = port_peer_ready};
    e->w = w;
    e->index = i;
    e->id = id;
    e->gateway = gateway_new(&config, &port);
    for (uint32_t k = 0; k < kWorldDomains; k++) {
        gateway_control_add(e->gateway, 0, w->controls[k].id);
    }
}

static void
members_start(World *w)
{
    for (uint32_t d = 0; d < kWorldDatabases; d++) {
        for (uint32_t i = 0; i < kWorldMembers; i++) {
            Member *m = &w->members[d][i];
            m->id = g_strdup_printf("%s-%u", kDatabaseNames[d], i);
            m->address = g_strdup_printf("10.0.%u.%u:1", d, i);
            m->database = d;
            m->domain = i;
            m->up = TRUE;
            m->primary = i == d % kWorldMembers;
            m->term = 1;
            m->log = g_array_new(FALSE, FALSE, sizeof(LogEntry));
            later(w, (i + 1) * 10 * kMs, beat, m);
        }
    }
}

/* Makes a world whose chances all come from the seed. */
World *
world_new(uint32_t seed)
{
    World *w = g_new0(World, 1);

    w->now_us = 1000000;
    w->rand = g_rand_new_with_seed(seed);
    w->events = g_sequence_new(g_free);
    w->links = g_ptr_array_new();
    w->runs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    w->writes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    w->teams = 1;
    w->max_connections = kMaxConnections;
    w->slots = kSlots;
    w->lag_us = 60 * kMs;
    w->gap_us = 400 * kMs;
    w->promote_us = 600 * kMs;
    for (uint32_t i = 0; i < kWorldDomains; i++) {
        Control *c = &w->controls[i];
        c->w = w;
        c->index = i;
        c->id = g_strdup_printf("c%u", i);
        c->disk = g_strdup_printf("disk-%u", i);
        c->saved.entries =
            g_ptr_array_new_with_free_func(consensus_entry_free);
    }
    for (uint32_t i = 0; i < kWorldDomains; i++) {
        control_start(&w->controls[i], TRUE);
    }
    for (uint32_t i = 0; i < kWorldEntries; i++) {
        entry_start(w, i);
    }
    members_start(w);
    later(w, 0, tick, NULL);
    world_configure(w, 1000, TRUE);
    world_run(w, 3000);
    for (uint32_t i = 0; i < kWorldCallers; i++) {
        Caller *c = &w->callers[i];
        c->w = w;
        c->index = i;
        c->entry = i % kWorldEntries;
        c->value = g_strdup_printf("caller-%u", i);
        later(w, random_of(w) % (400 * kMs), caller_next, c);
    }
    return w;
}

/* Lets the world go on. */
void
world_run(World *w, uint64_t for_ms)
{
    uint64_t until_us = w->now_us + for_ms * kMs;

    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(w->events);
        if (g_sequence_iter_is_end(first)) {
            break;
        }
        Event *e = g_sequence_get(first);
        if (e->due_us > until_us) {
            break;
        }
        Event now = *e;
        g_sequence_remove(first);
        w->now_us = MAX(w->now_us, now.due_us);
        now.run(w, now.data);
    }
    w->now_us = until_us;
}

/* Returns the most operations that ran within a window of the rates. */
uint32_t
world_most_in_window(const World *w)
{
    uint32_t most = 0;
    guint first = 0;

    for (guint i = 0; i < w->runs->len; i++) {
        uint64_t at_us = g_array_index(w->runs, uint64_t, i);
        while (g_array_index(w->runs, uint64_t, first) +
                   (uint64_t)kRateWindowMs * kMs <
               at_us) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

/* Forgets which operations have run so far. */
void
world_forget_runs(World *w)
{
    g_array_set_size(w->runs, 0);
}

/* Lets what callers have begun end, and begins nothing new. */
void
world_settle(World *w)
{
    for (uint32_t i = 0; i < kWorldDatabases; i++) {
        note_gap(w, i);
    }
    w->settling = TRUE;
    world_run(w, kSettleMs);
}

/* Compares the logs with what callers were told. */
const WorldReport *
world_end(World *w)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, w->writes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Write *wr = value;
        const Member *p = primary_of(w, wr->database);
        uint32_t held = 0;
        for (uint64_t i = 0; i < log_length(p); i++) {
            held += log_entry(p, i)->write_id == wr->id;
        }
        w->report.lost +=
            wr->acked_us != 0 && held == 0 && wr->rolled_back == 0;
        w->report.untrue += wr->promised && held > 0;
    }
    return &w->report;
}

/* ---- faults ---- */

/* Partitions a failure domain from the others, or heals it. */
void
world_cut_domain(World *w, uint32_t domain, gboolean cut)
{
    w->cut[domain] = cut;
}

/* Kills a control instance, or starts it with its disk. */
void
world_control_power(World *w, uint32_t index, gboolean on)
{
    Control *c = &w->controls[index];
    if (!on && c->director != NULL) {
        director_free(c->director);
        c->director = NULL;
    }
    if (on && c->director == NULL) {
        control_start(c, FALSE);
    }
}

/* Empties the disk of a control instance that is down. */
void
world_control_wipe(World *w, uint32_t index)
{
    Control *c = &w->controls[index];

    g_free(c->disk);
    c->disk = g_strdup_printf("disk-%u-%" G_GUINT64_FORMAT, index, ++c->wipes);
    g_ptr_array_set_size(c->saved.entries, 0);
    g_clear_pointer(&c->saved.snapshot, g_bytes_unref);
    g_clear_pointer(&c->saved.voted_for, g_free);
    c->saved.term = 0;
    c->saved.snapshot_index = 0;
    c->saved.snapshot_term = 0;
}

/* Returns the control instance that leads, -1 when none does. */
int
world_control_leader(const World *w)
{
    for (uint32_t i = 0; i < kWorldDomains; i++) {
        if (w->controls[i].director != NULL &&
            director_is_leader(w->controls[i].director)) {
            return (int)i;
        }
    }
    return -1;
}

/* Replaces an entry instance's process by a new one that knows nothing. */
void
world_entry_restart(World *w, uint32_t index)
{
    Entry *e = &w->entries[index];

    for (uint32_t i = 0; i < kWorldCallers; i++) {
        Caller *c = &w->callers[i];
        if (c->session != NULL && c->entry == index) {
            /* Its connection breaks; an open operation is not answered. */
            session_close(c->session, w->now_us);
            c->session = NULL;
            if (c->active && !c->pending) {
                operation_end(c, FALSE);
            }
        }
    }
    gateway_free(e->gateway);
    for (uint32_t i = 0; i < kWorldEntries; i++) {
        if (i != index) {
            gateway_peer_down(w->entries[i].gateway, w->now_us, e->id);
        }
    }
    g_free(e->id);
    entry_start(w, index);
}

/* Returns which member leads a database. */
int
world_primary(const World *w, uint32_t database)
{
    int best = 0;
    for (int i = 1; i < kWorldMembers; i++) {
        const Member *m = &w->members[database][i];
        const Member *b = &w->members[database][best];
        if (m->primary && (!b->primary || m->term > b->term)) {
            best = i;
        }
    }
    return best;
}

/* Crashes a member or brings it back. */
void
world_member_power(World *w, uint32_t database, uint32_t index, gboolean on,
                   gboolean dark)
{
    Member *m = &w->members[database][index];

    m->up = on;
    m->dark = dark;
    for (guint i = 0; !on && i < w->links->len; i++) {
        Link *l = g_ptr_array_index(w->links, i);
        if (l->member == m && l->owner != NULL && !dark) {
            l->events->down(l->owner, w->now_us, kCodeTimeout);
        }
    }
}

/* Crashes a database's primary or brings back what is down; a dark one
 * does not even refuse connections. */
void
world_primary_power(World *w, uint32_t database, gboolean on, gboolean dark)
{
    for (uint32_t i = 0; on && i < kWorldMembers; i++) {
        world_member_power(w, database, i, TRUE, FALSE);
    }
    if (!on) {
        world_member_power(w, database, (uint32_t)world_primary(w, database),
                           FALSE, dark);
    }
}

/* Lets a database's primary announce that it will leave. */
void
world_primary_drain(World *w, uint32_t database)
{
    Member *m = primary_of(w, database);

    m->draining = TRUE;
    m->draining_us = w->now_us;
}

/* Restarts all entry instances so that they refuse keyed work when they
 * have not heard of the configuration for so long. */
void
world_entries_strict(World *w, uint64_t max_unconfirmed_ms)
{
    w->max_unconfirmed_us = max_unconfirmed_ms * kMs;
    for (uint32_t i = 0; i < kWorldEntries; i++) {
        world_entry_restart(w, i);
    }
}

/* Lets many teams share few connections and slots of each member. */
void
world_teams(World *w, uint32_t teams, uint32_t max_connections, uint32_t slots)
{
    w->teams = teams;
    w->slots = MIN(slots, (uint32_t)kSlotsMost);
    w->max_connections = max_connections;
    world_configure(w, w->rate, w->with_key);
    world_run(w, 500);
    for (uint32_t i = 0; i < kWorldEntries; i++) {
        world_entry_restart(w, i);
    }
}

/* Breaks all links between entry instances, or lets them be. */
void
world_entries_apart(World *w, gboolean apart)
{
    w->entries_apart = apart;
}

/* Returns how many connections were opened to members. */
uint32_t
world_connections_opened(const World *w)
{
    return w->links->len;
}

/* Stops the members' reports or lets them go on. */
void
world_members_mute(World *w, gboolean mute)
{
    w->mute = mute;
}

/* Lets commits be answered only once a replica has them. */
void
world_acknowledge_by_replica(World *w)
{
    w->sync = TRUE;
    world_configure(w, w->rate, w->with_key);
}

/* Stops a member from receiving the log, or lets it go on. */
void
world_member_deaf(World *w, uint32_t database, uint32_t index, gboolean deaf)
{
    w->members[database][index].deaf = deaf;
}

/* Sets how late replicas apply commits. */
void
world_replicas_lag(World *w, uint64_t lag_ms)
{
    w->lag_us = lag_ms * kMs;
}

/* Loses part of the answers together with their connections. */
void
world_lose_answers(World *w, uint32_t lose_percent)
{
    w->lose_percent = lose_percent;
}

/* Sets how long a promotion takes to have its effect. */
void
world_promotions_take(World *w, uint64_t promote_ms)
{
    w->promote_us = promote_ms * kMs;
}

/* Sets the mean pause of a caller between operations. */
void
world_load(World *w, uint64_t gap_ms)
{
    w->gap_us = gap_ms * kMs;
}

/* Frees the world. */
void
world_free(World *w)
{
    for (uint32_t i = 0; i < kWorldEntries; i++) {
        gateway_free(w->entries[i].gateway);
        g_free(w->entries[i].id);
    }
    for (uint32_t i = 0; i < kWorldDomains; i++) {
        Control *c = &w->controls[i];
        if (c->director != NULL) {
            director_free(c->director);
        }
        g_ptr_array_unref(c->saved.entries);
        g_clear_pointer(&c->saved.snapshot, g_bytes_unref);
        g_free(c->saved.voted_for);
        g_free(c->disk);
        g_free(c->id);
    }
    for (uint32_t d = 0; d < kWorldDatabases; d++) {
        for (uint32_t i = 0; i < kWorldMembers; i++) {
            Member *m = &w->members[d][i];
            g_array_unref(m->log);
            g_free(m->address);
            g_free(m->id);
        }
    }
    for (guint i = 0; i < w->links->len; i++) {
        Link *l = g_ptr_array_index(w->links, i);
        g_array_unref(l->writes);
        g_hash_table_destroy(l->values);
        g_free(l->team);
        g_free(l);
    }
    for (uint32_t i = 0; i < kWorldCallers; i++) {
        g_free(w->callers[i].value);
    }
    g_array_unref(w->runs);
    g_ptr_array_unref(w->links);
    g_hash_table_destroy(w->writes);
    g_sequence_foreach(w->events, drop_event, NULL);
    g_sequence_free(w->events);
    g_bytes_unref(w->document);
    g_rand_free(w->rand);
    g_free(w);
}
