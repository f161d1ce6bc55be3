/** Sends planned calls to entries and counts their results. */
import {
  BoundedAnswer,
  LatencyHistograms,
  describeError,
  waitMs,
} from '@sassafrasspan/runtime';
import type {PlannedCall} from './load_plan';

const CALL_TIMEOUT_MS = 60_000;
/** Maximum size of an answer, in bytes. */
const MAX_ANSWER_BYTES = 33_554_432;
const FIRST_ERROR_STATUS = 400;
const CONNECTION_LOST = 'connection-lost';

/** The entries that receive the load, and the API key of a customer. */
export interface LoadTarget {
  readonly entryUrls: readonly string[];
  readonly apiKey: string;
}

/** A complete answer. */
export interface LoadAnswer {
  /** HTTP status; 0 when no complete answer was received. */
  readonly status: number;
  /** Empty when the call succeeded. */
  readonly errorKind: string;
  readonly text: string;
}

/** Results of the calls so far. */
export interface CallTally {
  answeredCalls: number;
  /** Number of failed calls by error kind. */
  readonly errorCounts: Map<string, number>;
  readonly latencies: LatencyHistograms;
}

/**
 * Sends one call and reads the complete answer; never rejects. Consecutive
 * values of `index` rotate through the entries.
 */
export async function makeCall(
  target: LoadTarget,
  index: number,
  call: Pick<PlannedCall, 'path' | 'body'> & {readonly method: string},
): Promise<LoadAnswer> {
  const {entryUrls, apiKey} = target;
  const url = entryUrls[index % entryUrls.length];
  try {
    const reply = await BoundedAnswer.request(`${url}${call.path}`, {
      method: call.method as 'GET',
      body: call.body,
      headers: {
        authorization: `Bearer ${apiKey}`,
        'content-type': 'application/json',
      },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      maxBytes: MAX_ANSWER_BYTES,
    });
    const text = await reply.readText();
    const {status} = reply;
    const errorKind = String(reply.headers['x-error-kind'] ?? '');
    const isFailed = status >= FIRST_ERROR_STATUS && errorKind === '';
    return {status, errorKind: isFailed ? `status-${status}` : errorKind, text};
  } catch (error) {
    return {status: 0, errorKind: CONNECTION_LOST, text: describeError(error)};
  }
}

/**
 * Starts every call at its planned time, without waiting for earlier calls.
 * Latencies are measured from the planned time.
 */
export async function runCallers(
  target: LoadTarget,
  calls: readonly PlannedCall[],
): Promise<CallTally> {
  const latencies = LatencyHistograms.create();
  const tally: CallTally = {
    answeredCalls: 0,
    errorCounts: new Map(),
    latencies,
  };
  const startedMs = performance.now();
  const pendingCalls = calls.map(async (call, index) => {
    await waitMs(call.atMs);
    const dueMs = startedMs + call.atMs;
    const answer = await makeCall(target, index, call);
    if (answer.errorKind === '') {
      tally.answeredCalls += 1;
      latencies.recordMs(call.target, performance.now() - dueMs);
    } else {
      tally.errorCounts.set(
        answer.errorKind,
        (tally.errorCounts.get(answer.errorKind) ?? 0) + 1,
      );
    }
  });
  await Promise.all(pendingCalls);
  return tally;
}
