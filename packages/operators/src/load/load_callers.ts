/** Makes planned calls against entries and counts how they end. */
import {LatencyHistograms, describeError, waitMs} from '@sassafrasspan/runtime';
import {request} from 'undici';
import type {PlannedCall} from './load_plan';

const CALL_TIMEOUT_MS = 60_000;
const HTTP_FAILED = 400;
const LOST = 'connection-lost';

/** Entries and the API key of a customer. */
export interface LoadTarget {
  readonly entryUrls: readonly string[];
  readonly apiKey: string;
}

/** An answer, read to its end. */
export interface LoadAnswer {
  readonly status: number;
  /** Error kind; empty for none. */
  readonly kind: string;
  readonly text: string;
}

/** How calls have ended. */
export interface CallTally {
  answered: number;
  /** Failed calls by error kind. */
  readonly failed: Map<string, number>;
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
    const isFailed = status >= HTTP_FAILED && stated === '';
    return {status, kind: isFailed ? `status-${status}` : stated, text};
  } catch (error) {
    return {status: 0, kind: LOST, text: describeError(error)};
  }
}

/** Makes every call at its time, whatever the earlier ones do. */
export async function runCallers(
  target: LoadTarget,
  calls: readonly PlannedCall[],
): Promise<CallTally> {
  const latencies = LatencyHistograms.create();
  const tally: CallTally = {answered: 0, failed: new Map(), latencies};
  const startedMs = performance.now();
  const open = calls.map(async (call, turn) => {
    await waitMs(call.atMs);
    const dueMs = startedMs + call.atMs;
    const answer = await makeCall(target, turn, call);
    if (answer.kind === '') {
      tally.answered += 1;
      latencies.recordMs(call.target, performance.now() - dueMs);
    } else {
      tally.failed.set(answer.kind, (tally.failed.get(answer.kind) ?? 0) + 1);
    }
  });
  await Promise.all(open);
  return tally;
}
