/** Checks whether a sample's weight versions are complete and fresh enough. */
import type {Sample} from './step_schemas';

type Segments = Sample['segments'];

/** Returns whether the segments assign a version to every byte of the text. */
export function hasCompleteSegments(
  segments: Segments,
  totalBytes: number,
): boolean {
  let coveredBytes = 0;
  for (const {from, to} of segments) {
    if (from !== coveredBytes || to < from) return false;
    coveredBytes = to;
  }
  return segments.length > 0 && coveredBytes === totalBytes;
}

/** Returns the oldest version of all segments; -1 if there are no segments. */
export function findOldestVersion(segments: Segments): number {
  if (segments.length === 0) return -1;
  return Math.min(...segments.map(segment => segment.version));
}

/**
 * Returns whether a sample's oldest version lags behind the trainer by more
 * than the bound. A sample without segments is stale.
 */
export function isStale(
  sample: Pick<Sample, 'segments'>,
  trainerVersion: number,
  stalenessBound: number,
): boolean {
  const oldest = findOldestVersion(sample.segments);
  return oldest < 0 || trainerVersion - oldest > stalenessBound;
}
