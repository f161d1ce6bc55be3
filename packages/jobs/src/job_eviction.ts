/**
 * Decides which ended jobs the coordinator evicts from memory. Trainers and
 * others read jobs long after their end, and reading an evicted job costs
 * several calls to the store.
 */

/** Time since its last use for which an ended job is never evicted, in ms.
 * Trainers read twice a second. */
const MIN_IDLE_MS = 15_000;
/** Total size of the results of idle ended jobs, in characters: a third of the
 * memory that the smallest VMs have left beside the process. */
const MAX_IDLE_CHARACTERS = 24_000_000;

export interface EndedJob {
  readonly id: string;
  /** On the monotonic clock. */
  readonly lastUsedAtMs: number;
  /** Total size of its results. */
  readonly characters: number;
}

/** Returns the ids of the least recently used jobs that exceed the limit. */
export function selectEvictions(
  jobs: readonly EndedJob[],
  nowMs: number,
): string[] {
  const idle = jobs
    .filter(job => nowMs - job.lastUsedAtMs > MIN_IDLE_MS)
    .sort((a, b) => b.lastUsedAtMs - a.lastUsedAtMs);
  let totalCharacters = 0;
  const evicted: string[] = [];
  for (const {id, characters} of idle) {
    totalCharacters += characters;
    if (totalCharacters > MAX_IDLE_CHARACTERS) evicted.push(id);
  }
  return evicted;
}
