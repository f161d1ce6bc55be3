/**
 * All error kinds and the answer (the response to the caller) that each one maps
 * to.
 *
 * Every error that a process of the system returns has one of these kinds. Only
 * this table determines the HTTP status, the reported outcome and whether a
 * later retry can help. A test compares docs/ERRORS.md with it.
 */

/** Whether the work of a request ran, as reported to its caller. */
export type Outcome = 'not-run' | 'ran' | 'unknown';

/** The answer that an error kind maps to. */
export interface ErrorAnswer {
  /** HTTP status code sent to callers, trainers and operators. */
  readonly status: number;
  /** The reported outcome, unless the error has a more specific one. */
  readonly outcome: Outcome;
  /** Default time in ms after which a retry can help; 0 when it cannot. */
  readonly retryAfterMs: number;
  /** One sentence that explains the error to a person. */
  readonly summary: string;
}

const RETRY_SOON_MS = 250;
const RETRY_LATER_MS = 1_000;
const RETRY_MUCH_LATER_MS = 5_000;

/** Answers by error kind. */
export const ERROR_ANSWERS = {
  'bad-request': {
    status: 400,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'The request cannot be understood.',
  },
  'bad-cursor': {
    status: 400,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'The cursor is damaged or belongs to another step.',
  },
  unauthenticated: {
    status: 401,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'The API key is missing or unknown.',
  },
  forbidden: {
    status: 403,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'The customer may not use this service or trainer.',
  },
  'not-found': {
    status: 404,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'There is no such service, trainer, step or page.',
  },
  'slow-sender': {
    status: 408,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The request was not received in time.',
  },
  conflict: {
    status: 409,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary:
      'Another edit was accepted first, or the name or key belongs to a different request.',
  },
  'in-progress': {
    status: 409,
    outcome: 'unknown',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'A request with the same idempotency key is still running.',
  },
  'key-forgotten': {
    status: 409,
    outcome: 'unknown',
    retryAfterMs: 0,
    summary: 'It is unknown whether the idempotency key was used before.',
  },
  'body-too-large': {
    status: 413,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'The body is larger than the limit.',
  },
  quarantined: {
    status: 422,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'The request crashed the endpoints that ran it.',
  },
  'limit-exceeded': {
    status: 429,
    outcome: 'not-run',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'The customer has exceeded its limit.',
  },
  'headers-too-large': {
    status: 431,
    outcome: 'not-run',
    retryAfterMs: 0,
    summary: 'The headers are larger than the limit.',
  },
  internal: {
    status: 500,
    outcome: 'unknown',
    retryAfterMs: 0,
    summary: 'An internal error of the system.',
  },
  'endpoint-failed': {
    status: 502,
    outcome: 'unknown',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The endpoint failed while it ran the request.',
  },
  'crash-suspect': {
    status: 502,
    outcome: 'unknown',
    retryAfterMs: 0,
    summary:
      'Every endpoint that ran the request failed; it is not retried for now.',
  },
  'endpoint-refused': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The endpoint did not accept the request.',
  },
  'answer-incomplete': {
    status: 502,
    outcome: 'unknown',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The endpoint ended its answer before it was complete.',
  },
  'job-unknown': {
    status: 502,
    outcome: 'unknown',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'It is unknown whether the batch job was stored; submit it again.',
  },
  'agent-lost': {
    status: 502,
    outcome: 'unknown',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The agent that had the request cannot be reached.',
  },
  'peer-lost': {
    status: 503,
    outcome: 'unknown',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'Another node of the system does not answer.',
  },
  'peer-absent': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'Nothing listens at the address of another node.',
  },
  'not-home': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The node is not, or no longer, the coordinator of batch jobs.',
  },
  overloaded: {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'Every endpoint that may run the request is busy.',
  },
  'stream-unknown': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'It is unknown which software version began the stream.',
  },
  'rate-limited': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The endpoints of the service have reached the limits they state.',
  },
  'too-many-open': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The entry has reached its maximum number of open requests.',
  },
  'memory-short': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'The entry holds as many bytes for callers as its memory allows.',
  },
  'no-endpoint': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'No live endpoint of the service is known.',
  },
  'not-ready': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'The process has no rules yet.',
  },
  draining: {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The endpoint or process is shutting down or being drained.',
  },
  'stale-dispatch': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The request reached the agent too late to start.',
  },
  'wrong-incarnation': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The agent has restarted since the entry last saw it.',
  },
  'stale-rules': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The entry has older rules than the agent.',
  },
  revoked: {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The request was revoked before it started.',
  },
  'version-unknown': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_LATER_MS,
    summary:
      'The weight version of the endpoint is unknown after a failed swap.',
  },
  'platform-down': {
    status: 503,
    outcome: 'unknown',
    retryAfterMs: RETRY_MUCH_LATER_MS,
    summary: 'The object API of the platform does not answer.',
  },
  'history-gone': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_SOON_MS,
    summary: 'The store no longer has the requested changes.',
  },
  'deadline-unmeetable': {
    status: 503,
    outcome: 'not-run',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'The request cannot be completed before its deadline.',
  },
  cancelled: {
    status: 499,
    outcome: 'unknown',
    retryAfterMs: 0,
    summary: 'The caller disconnected before it was answered.',
  },
  'deadline-exceeded': {
    status: 504,
    outcome: 'unknown',
    retryAfterMs: RETRY_LATER_MS,
    summary: 'The deadline passed while the request was running.',
  },
} as const satisfies Record<string, ErrorAnswer>;

export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** Every error kind, in the order of the table. */
export const ERROR_KINDS = Object.keys(ERROR_ANSWERS) as readonly ErrorKind[];

/** An error as plain data. */
export interface ServiceError {
  readonly kind: ErrorKind;
  /** A specific description for people. */
  readonly detail: string;
  /** Overrides the outcome of the table. */
  readonly outcome?: Outcome;
  /** Overrides the table's time after which a retry can help, in ms. */
  readonly retryAfterMs?: number;
  /** Identifies the endpoint crash that ended the work. */
  readonly crashId?: string;
}

/** The optional fields of an error. */
export type ErrorExtras = Pick<
  ServiceError,
  'outcome' | 'retryAfterMs' | 'crashId'
>;

export function createError(
  kind: ErrorKind,
  detail: string,
  extras: ErrorExtras = {},
): ServiceError {
  return {kind, detail, ...extras};
}

/** Returns the answer to an error; its own values override the table's. */
export function getErrorAnswer(error: ServiceError): ErrorAnswer {
  const listed: ErrorAnswer = ERROR_ANSWERS[error.kind];
  return {
    status: listed.status,
    outcome: error.outcome ?? listed.outcome,
    retryAfterMs: error.retryAfterMs ?? listed.retryAfterMs,
    summary: listed.summary,
  };
}

/** Returns whether a string, such as one from a peer, is an error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text);
}

/** Returns the error kind that a peer sent, or `internal` if it is unknown here. */
export function readErrorKind(text: string): ErrorKind {
  return isErrorKind(text) ? text : 'internal';
}
