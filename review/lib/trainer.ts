/** The calls of a trainer about its batch jobs. */
import {Call, Reply, createId, send} from './client';

export interface Result {
  readonly id: string;
  readonly state: string;
  readonly text: string;
  readonly versions: readonly number[];
}

export interface Page {
  readonly total: number;
  readonly next_token: number;
  readonly results: readonly Result[];
}

export interface Submission {
  readonly address: Call['address'];
  readonly host: string;
  readonly prefix: string;
  readonly model: string;
  readonly minVersion: number;
  readonly itemIds: readonly string[];
  readonly step: number;
  readonly events: number;
  /** Returns the call that scores an item; none by default. */
  readonly createScoring?: (itemId: string) => object;
}

/** Submits a batch job; returns its id and the reply. */
export async function submitJob(
  submission: Submission,
  jobId = createId(),
): Promise<{jobId: string; reply: Reply}> {
  const {address, host, prefix, model, itemIds} = submission;
  const tokens = submission.events * 57;
  const body = JSON.stringify({
    step: submission.step,
    model,
    min_version: submission.minVersion,
    desired_count: Math.ceil(itemIds.length / 4),
    items: itemIds.map((id, index) => ({
      id,
      path: `${prefix}i/${id}`,
      headers: {
        Model: model,
        'Token-Usage': `271,${tokens}`,
        'Prompt-Prefix': `ab:255,${id.slice(0, 6)}:16`,
      },
      body: Buffer.from(`body of ${id}`).toString('base64'),
      token_count: 271 + tokens,
      scoring_call: submission.createScoring?.(id),
      group: `g-${jobId.slice(0, 6)}-${Math.floor(index / 4)}`,
    })),
  });
  const reply = await send({
    address,
    method: 'POST',
    host,
    path: `${prefix}${jobId}`,
    id: jobId,
    headers: {'Content-Type': 'application/json'},
    body,
    deadlineMs: 12_000,
  });
  return {jobId, reply};
}

export async function readJob(
  address: Call['address'],
  host: string,
  jobId: string,
  after: number,
): Promise<{status: number; page: Page | undefined}> {
  const reply = await send({
    address,
    method: 'GET',
    host,
    path: `/api/lots/${jobId}?after=${after}`,
    headers: {'Wait-Ms': '500'},
    deadlineMs: 2_500,
  });
  if (reply.status !== 200) return {status: reply.status, page: undefined};
  return {status: 200, page: JSON.parse(reply.body) as Page};
}

/** Reads a job from the start until all results are listed. */
export async function readAll(
  address: Call['address'],
  host: string,
  jobId: string,
  timeoutMs: number,
): Promise<Result[]> {
  const results: Result[] = [];
  const endsAtMs = Date.now() + timeoutMs;
  let total = Infinity;
  while (results.length < total && Date.now() < endsAtMs) {
    const {page} = await readJob(address, host, jobId, results.length);
    if (page === undefined) continue;
    total = page.total;
    results.push(...page.results);
  }
  return results;
}

export function createItemIds(count: number): string[] {
  return Array.from({length: count}, createId);
}
