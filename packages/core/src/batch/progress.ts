/**
 * Checkpoints of the texts of all open jobs, so that a crash of everything
 * costs a second or two of them and not all. One checkpoint for all jobs, in as
 * few parts as its size allows: each part costs a call to the store.
 */
import * as z from 'zod/mini';
import type {TextEvent} from './batch_types';
import type {JobState} from './job_state';
import {EVENT_SCHEMA} from './run_messages';

/** Time between checkpoints, in ms: with the time of the write a crash of
 * everything costs each run a second at most. */
export const PROGRESS_INTERVAL_MS = 800;
/** Texts of fewer events are generated again sooner than they are kept. */
const MIN_EVENTS = 10;
/** Largest part, in characters: below the store's bound on an object even when
 * each takes two bytes. */
const MAX_PART_CHARACTERS = 400_000;
/** Most parts; the shortest texts are left out beyond that. */
const MAX_PARTS = 6;

/** Schema of a part of a checkpoint. */
export const PROGRESS_SCHEMA = z.object({
  items: z.array(
    z.object({
      jobId: z.string(),
      itemId: z.string(),
      events: z.array(EVENT_SCHEMA),
    }),
  ),
});

/** A checkpoint, or a part of one. */
export type JobProgress = z.infer<typeof PROGRESS_SCHEMA>;

/**
 * Collects the texts that are worth keeping into parts, the longest first.
 * Finished ones count until they are listed.
 */
export function collectProgress(jobs: readonly JobState[]): JobProgress[] {
  const long = jobs
    .flatMap(({job, items}) =>
      [...items.values()].map(item => ({jobId: job.id, item})),
    )
    .filter(({item}) => item.phase !== 'listed')
    .filter(({item}) => item.events.length >= MIN_EVENTS)
    .sort((a, b) => b.item.events.length - a.item.events.length);
  const parts: JobProgress[] = [];
  let characters = Infinity;
  for (const {jobId, item} of long) {
    const size = countCharacters(item.events);
    if (characters + size > MAX_PART_CHARACTERS) {
      if (parts.length === MAX_PARTS) break;
      parts.push({items: []});
      characters = 0;
    }
    characters += size;
    const events = item.events.map(encodeEvent);
    parts[parts.length - 1].items.push({jobId, itemId: item.item.id, events});
  }
  return parts;
}

function countCharacters(events: readonly TextEvent[]): number {
  return events.reduce((sum, event) => sum + event.data.length, 0);
}

function encodeEvent(event: TextEvent): [string, number] {
  return [event.data, event.version];
}

/** Gives waiting items of a job the longest text that parts have of them. */
export function restoreProgress(
  state: JobState,
  parts: readonly JobProgress[],
): void {
  for (const {jobId, itemId, events} of parts.flatMap(part => part.items)) {
    const known = state.items.get(itemId)?.events.length ?? 0;
    if (jobId !== state.job.id || events.length <= known) continue;
    const text = events.map(([data, version]) => ({data, version}));
    state.restoreText(itemId, text);
  }
}
