/**
 * Decides which ended jobs the coordinator keeps in memory: which it evicts, and
 * which a new coordinator loads. Trainers and others read jobs long after their
 * end, and reading a job that is not in memory costs several calls to the store.
 */
import type {JobHeader} from './job_store';

/** Time since its last use for which an ended job is never evicted, in ms.
 * Trainers read twice a second. */
const MIN_IDLE_MS = 15_000;
/** Total size of the results of idle ended jobs, in characters: a third of the
 * memory that the smallest VMs have left beside the process. */
const MAX_IDLE_CHARACTERS = 24_000_000;
/** Maximum age of ended jobs that a new coordinator loads, in ms. A trainer
 * has two jobs in progress. */
const MAX_LOADED_AGE_MS = 20_000;
/** Number of ended jobs per model that a new coordinator loads. */
const MAX_LOADED_JOBS = 2;

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

/** Selects the ended jobs that a new coordinator loads, newest first: the latest
 * ones of each model. `headers` are in the order of acceptance. */
export function selectEndedJobs(
  headers: readonly JobHeader[],
  nowMs: number,
): JobHeader[] {
  const counts = new Map<string, number>();
  return [...headers].reverse().filter(({isEnded, acceptedAtMs, model}) => {
    const isRecent = acceptedAtMs >= nowMs - MAX_LOADED_AGE_MS;
    const count = counts.get(model) ?? 0;
    if (!isEnded || !isRecent || count >= MAX_LOADED_JOBS) return false;
    counts.set(model, count + 1);
    return true;
  });
}
