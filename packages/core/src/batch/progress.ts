/**
 * Checkpoints of the texts of all open jobs, so that a crash of all nodes loses
 * only a second or two of generated text. A single checkpoint covers all jobs
 * and is split into as few parts as its size allows, since each part costs a
 * call to the store.
 */
import * as z from 'zod/mini';
import {selectEntries} from '../shared/message_entries';
import type {TextEvent} from './batch_types';
import type {JobState} from './job_state';
import {EVENT_SCHEMA, decodeEvents} from './run_messages';

/** Time between checkpoints, in ms. With the time of a write, a crash of all
 * nodes costs each run at most one second. */
export const PROGRESS_INTERVAL_MS = 800;
/** Minimum length of a text in a checkpoint, in events: shorter texts are
 * cheaper to generate again than to store. */
const MIN_EVENTS = 10;
/** Maximum size of a part, in characters: below the store's limit for an object
 * even when each character takes two bytes. */
const MAX_PART_CHARACTERS = 400_000;
/** Maximum number of parts; the shortest texts that do not fit are left out. */
const MAX_PARTS = 6;

/** Schema of a text in a checkpoint. */
const SAVED_TEXT_SCHEMA = z.object({
  jobId: z.string(),
  itemId: z.string(),
  /** Version of the software that generated the events. */
  software: z._default(z.string(), ''),
  events: z.array(EVENT_SCHEMA),
  /** Whether the text is complete, and its score if there is one. */
  isComplete: z.optional(z.boolean()),
  score: z.optional(z.string()),
});

const PART_SCHEMA = z.object({items: z.array(z.unknown())});

/** A checkpoint, or a part of one. */
export interface JobProgress {
  readonly items: Array<z.infer<typeof SAVED_TEXT_SCHEMA>>;
}

/** Reads a stored part of a checkpoint without the texts that can't be read: these
 * are generated again. */
export function decodeProgress(value: unknown): JobProgress {
  const parsed = PART_SCHEMA.safeParse(value);
  const {items = []} = parsed.data ?? {};
  return {items: selectEntries(SAVED_TEXT_SCHEMA, items).entries};
}

/**
 * Returns the parts of a checkpoint, with the longest texts first. Complete texts
 * and their scores are included until their results are in the log.
 */
export function collectProgress(jobs: readonly JobState[]): JobProgress[] {
  const texts = jobs
    .flatMap(({job, items}) =>
      [...items.values()].map(item => ({jobId: job.id, item})),
    )
    .filter(({item}) => item.phase !== 'listed')
    .filter(({item}) => item.events.length >= MIN_EVENTS)
    .sort((a, b) => b.item.events.length - a.item.events.length);
  const parts: JobProgress[] = [];
  let characters = Infinity;
  for (const {jobId, item} of texts) {
    const size = countCharacters(item.events);
    if (characters + size > MAX_PART_CHARACTERS) {
      if (parts.length === MAX_PARTS) break;
      parts.push({items: []});
      characters = 0;
    }
    characters += size;
    parts[parts.length - 1].items.push({
      jobId,
      itemId: item.item.id,
      software: item.events[0]?.software ?? '',
      events: item.events.map(encodeEvent),
      isComplete: item.result?.state === 'completed',
      score: item.result?.score,
    });
  }
  return parts;
}

function countCharacters(events: readonly TextEvent[]): number {
  return events.reduce((sum, event) => sum + event.data.length, 0);
}

function encodeEvent(event: TextEvent): [string, number] {
  return [event.data, event.version];
}

/** Restores the text of each waiting item of a job to the longest one in the
 * parts of checkpoints. */
export function restoreProgress(
  state: JobState,
  parts: readonly JobProgress[],
  nowMs: number,
): void {
  for (const saved of parts.flatMap(part => part.items)) {
    const {jobId, itemId, software, events, isComplete, score} = saved;
    const knownEvents = state.items.get(itemId)?.events.length ?? 0;
    if (jobId !== state.job.id || events.length <= knownEvents) continue;
    const text = decodeEvents(events, software);
    if (isComplete) state.restoreCompleteText(itemId, text, score, nowMs);
    else state.restoreText(itemId, text, nowMs);
  }
}
