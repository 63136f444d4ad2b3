/**
 * Messages between the processes of gypsumshift.
 *
 * Regenerate with `make generate`; the Python output is committed.
 */
namespace py gypsumshift.generated

enum Role {
  ENTRY = 1,
  SIDECAR = 2,
}

/** Class of a request, in falling order of precedence. */
enum RequestClass {
  CLIENT = 1,
  INTERNAL = 2,
  SAMPLE = 3,
}

/** State of an attempt as its sidecar knows it. */
enum AttemptState {
  NEVER = 1,
  RUNNING = 2,
  DONE = 3,
  UNKNOWN = 4,
}

/** What a process tells others of itself; addresses are IP numbers. */
struct Member {
  1: string name,
  2: i64 incarnation,
  3: Role role,
  4: string zone,
  5: string host,
  6: i32 port,
  7: string pool,
  8: string backend,
  9: bool leaving,
  10: i64 fence,
  11: i64 version,
}

/**
 * Load of one backend server, as its sidecar sees it. `mark` counts the attempts
 * that may not be repeated and that arrived there so far. `queued` counts all
 * classes; the other two the classes that go before samples.
 */
struct Load {
  1: i32 running,
  2: i32 queued,
  3: i32 limit,
  4: i32 wait_ms,
  5: i64 version,
  6: bool healthy,
  7: bool swapping,
  8: double duration_s,
  9: i64 mark,
  10: i32 queued_clients,
  11: i32 queued_internal,
}

/** Newest published weight version of one pool. */
struct Target {
  1: string pool,
  2: i64 version,
}

struct Heartbeat {
  1: Member sender,
  2: i64 revision,
  3: optional Load load,
  4: list<Member> peers,
  5: list<Target> targets,
}

struct Header {
  1: binary name,
  2: binary value,
}

/**
 * Orders the sidecar to run one attempt of a request; with `no_wait` to refuse it
 * where it would have to wait.
 */
struct Start {
  1: string attempt,
  2: i64 incarnation,
  3: string workspace,
  4: RequestClass request_class,
  5: i32 timeout_ms,
  6: string method,
  7: string target,
  8: list<Header> headers,
  9: binary body,
  10: bool repeatable,
  11: i64 oldest_version,
  12: i32 urgency,
  13: i32 share,
  14: bool no_wait,
}

/** Head of an answer from the backend server. */
struct Head {
  1: i32 status,
  2: list<Header> headers,
}

struct Chunk {
  1: binary data,
}

/** Tokens [first, last) of one sample, produced by one weight version. */
struct Span {
  1: i32 first,
  2: i32 last,
  3: i64 version,
}

/** End of a whole answer. */
struct End {
  1: list<Span> spans,
  2: Load load,
}

/** A whole answer in one message, where it is short. */
struct Whole {
  1: Head head,
  2: binary body,
  3: End end,
}

/** The attempt has not run and never will: a true "not run". */
struct Refused {
  1: string reason,
  2: i32 retry_after_ms,
  3: Load load,
  4: bool busy,
}

/** The attempt failed after it may have started. */
struct Broken {
  1: string reason,
  2: Load load,
}

struct Cancel {
  1: string attempt,
}

/** Asks for the state of an attempt and bars it where it never started. */
struct Bar {
  1: string attempt,
  2: i64 incarnation,
}

struct BarReply {
  1: AttemptState state,
  2: optional Head head,
  3: binary body,
}

struct PullRevision {
  1: i64 have,
}

struct Revision {
  1: i64 number,
  2: string text,
}

/** One event of the time line; `time_us` and `tick` form a hybrid timestamp. */
struct Event {
  1: i64 time_us,
  2: i32 tick,
  3: string process,
  4: string kind,
  5: string subject,
  6: string detail,
}

struct PullEvents {
  1: string subject,
  2: i32 limit,
}

struct Events {
  1: list<Event> events,
}

struct PullStatus {
}

/** One named figure of a process, for `gypsumshift status`. */
struct Figure {
  1: string name,
  2: double value,
}

struct Status {
  1: Member member,
  2: i64 revision,
  3: optional Load load,
  4: list<Figure> figures,
}

/** Orders the receiver to leave: finish what runs, take no new work. */
struct Drain {
  1: i32 deadline_ms,
}

struct Done {
}

union Body {
  1: Heartbeat heartbeat,
  2: Start start,
  3: Head head,
  4: Chunk chunk,
  5: End end,
  6: Refused refused,
  7: Broken broken,
  8: Cancel cancel,
  9: Bar bar,
  10: BarReply bar_reply,
  11: PullRevision pull_revision,
  12: Revision revision,
  13: PullEvents pull_events,
  14: Events events,
  15: PullStatus pull_status,
  16: Status status,
  17: Drain drain,
  18: Done done,
  19: Whole whole,
}

/** One frame on a connection; `exchange` matches answers to their question. */
struct Frame {
  1: i64 exchange,
  2: Body body,
  3: i64 time_us,
  4: i32 tick,
}
