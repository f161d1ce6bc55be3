/**
 * Checkpoints of long texts that are still being generated, so that a crash of
 * everything costs a second or two of them and not all.
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
/** Largest checkpoint of a job, in characters. */
const MAX_CHARACTERS = 600_000;

/** Schema of a checkpoint of a job. */
export const PROGRESS_SCHEMA = z.object({
  items: z.array(z.object({itemId: z.string(), events: z.array(EVENT_SCHEMA)})),
});

/** A checkpoint of a job. */
export type JobProgress = z.infer<typeof PROGRESS_SCHEMA>;

/**
 * Collects the texts that are worth keeping, the longest first. Finished ones
 * count until they are listed.
 */
export function collectProgress(state: JobState): JobProgress {
  const long = [...state.items.values()]
    .filter(item => item.phase !== 'listed')
    .filter(item => item.events.length >= MIN_EVENTS)
    .sort((a, b) => b.events.length - a.events.length);
  const items: JobProgress['items'] = [];
  let characters = 0;
  for (const {item, events} of long) {
    for (const event of events) characters += event.data.length;
    if (characters > MAX_CHARACTERS) break;
    items.push({itemId: item.id, events: events.map(encodeEvent)});
  }
  return {items};
}

function encodeEvent(event: TextEvent): [string, number] {
  return [event.data, event.version];
}

/** Gives waiting items the text of a checkpoint. */
export function restoreProgress(state: JobState, progress: JobProgress): void {
  for (const {itemId, events} of progress.items) {
    const text = events.map(([data, version]) => ({data, version}));
    state.adoptText(itemId, text);
  }
}
