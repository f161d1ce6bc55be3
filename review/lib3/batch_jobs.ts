/** Submits batch jobs like those of the sheets, without scoring calls. */
import {createItemText} from '../../platform/src/testing/model_server_standin';
import type {TestClient} from '../../platform/src/testing/test_clients';
import {CaseRecord, waitFor} from './case_runner';

/** Version of the weights with which the servers start. */
const START_VERSION = 1;
const PROMPT_TOKENS = 10;
/** Tokens of one event. */
const TOKENS_PER_EVENT = 57;
const GROUP_SIZE = 4;

/** Returns ids of items whose texts have 19 events. */
export function createItemIds(prefix: string, count: number): string[] {
  return Array.from(
    {length: count},
    (_, n) => `${prefix}${String(n).padStart(4, '0')}0010`,
  );
}

/** Submits a job until it is accepted, by default for the version with which the
 * servers start; `hint` is the estimate of each item. */
export function submitJob(
  client: TestClient,
  record: CaseRecord,
  jobId: string,
  itemIds: readonly string[],
  minVersion = START_VERSION,
  hint?: string,
): Promise<number> {
  const body = JSON.stringify({
    step: 0,
    model: 'm',
    min_version: minVersion,
    desired_count: Math.ceil(itemIds.length / GROUP_SIZE),
    items: itemIds.map((id, index) => createItem(id, index, hint)),
  });
  const headers = {'request-id': jobId, 'content-type': 'application/json'};
  return waitFor('the submission', async () => {
    const reply = await client.call('POST', `/batch/${jobId}`, body, headers);
    const status = reply?.status ?? 0;
    const hintText = hint === undefined ? '' : `, Length-Hint ${hint}`;
    record.write(`POST batch job ${jobId}${hintText}: ${status}`);
    if (status >= 400 && status < 500) throw new Error('the job was rejected');
    return status === 202 ? status : undefined;
  });
}

function createItem(id: string, index: number, hint: string | undefined) {
  const outputTokens = createItemText(id).length * TOKENS_PER_EVENT;
  return {
    id,
    path: `/batch/i/${id}`,
    headers: {
      Model: 'm',
      'Token-Usage': `${PROMPT_TOKENS},${outputTokens}`,
      'Prompt-Prefix': `ab:${PROMPT_TOKENS}`,
      ...(hint === undefined ? {} : {'Length-Hint': hint}),
    },
    body: Buffer.from(`body of ${id}`).toString('base64'),
    token_count: PROMPT_TOKENS + outputTokens,
    group: `g${Math.floor(index / GROUP_SIZE)}`,
  };
}
