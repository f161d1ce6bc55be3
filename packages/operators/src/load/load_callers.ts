/** Makes planned calls against entries and counts how they end. */
import {LatencyHistograms, describeError, waitMs} from '@sassafrasspan/runtime';
import {request} from 'undici';
import type {PlannedCall} from './load_plan';

const CALL_TIMEOUT_MS = 60_000;
const FIRST_ERROR_STATUS = 400;
const CONNECTION_LOST = 'connection-lost';

/** Entries and the API key of a customer. */
export interface LoadTarget {
  readonly entryUrls: readonly string[];
  readonly apiKey: string;
}

/** An answer, read to its end. */
export interface LoadAnswer {
  readonly status: number;
  /** Error kind; empty for none. */
  readonly errorKind: string;
  readonly text: string;
}

/** How calls have ended. */
export interface CallTally {
  answeredCalls: number;
  /** Failed calls by error kind. */
  readonly errorCounts: Map<string, number>;
  readonly latencies: LatencyHistograms;
}

/** Makes one call and reads its whole answer. */
export async function makeCall(
  target: LoadTarget,
  turn: number,
  call: Pick<PlannedCall, 'path' | 'body'> & {readonly method: string},
): Promise<LoadAnswer> {
  const {entryUrls, apiKey} = target;
  const url = entryUrls[turn % entryUrls.length];
  try {
    const reply = await request(`${url}${call.path}`, {
      method: call.method as 'GET',
      body: call.body,
      headers: {
        authorization: `Bearer ${apiKey}`,
        'content-type': 'application/json',
      },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await reply.body.text();
    const {statusCode: status} = reply;
    const stated = String(reply.headers['x-error-kind'] ?? '');
    const isFailed = status >= FIRST_ERROR_STATUS && stated === '';
    return {status, errorKind: isFailed ? `status-${status}` : stated, text};
  } catch (error) {
    return {status: 0, errorKind: CONNECTION_LOST, text: describeError(error)};
  }
}

/** Makes every call at its time, whatever the earlier ones do. */
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
  const open = calls.map(async (call, turn) => {
    await waitMs(call.atMs);
    const dueMs = startedMs + call.atMs;
    const answer = await makeCall(target, turn, call);
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
  await Promise.all(open);
  return tally;
}
