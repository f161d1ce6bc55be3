/**
 * Decides which ended jobs a home keeps in memory. Trainers and others read
 * jobs long after their end, and each one that is not there costs several calls
 * to the store.
 */

/** Time for which an ended job stays after it was last read, in ms: trainers
 * read twice a second. */
const MIN_IDLE_MS = 15_000;
/** Results of ended jobs that stay beyond that, in characters: a third of the
 * memory that the smallest VMs leave beside the process itself. */
const MAX_IDLE_CHARACTERS = 24_000_000;

/** An ended job in memory. */
export interface EndedJob {
  readonly id: string;
  /** When it was last read, on the monotonic clock. */
  readonly lastUsedAtMs: number;
  /** Characters of its results. */
  readonly characters: number;
}

/** Returns the jobs to let go, those first that were not read for longest. */
export function selectEvictions(
  jobs: readonly EndedJob[],
  nowMs: number,
): string[] {
  const idle = jobs
    .filter(job => nowMs - job.lastUsedAtMs > MIN_IDLE_MS)
    .sort((a, b) => b.lastUsedAtMs - a.lastUsedAtMs);
  let kept = 0;
  const forgotten: string[] = [];
  for (const {id, characters} of idle) {
    kept += characters;
    if (kept > MAX_IDLE_CHARACTERS) forgotten.push(id);
  }
  return forgotten;
}
