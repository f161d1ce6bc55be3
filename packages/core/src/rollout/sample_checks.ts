/** Checks of a sample's weight versions: are they whole, and fresh enough? */
import type {Sample} from './step_schemas';

type Segments = Sample['segments'];

/** Tells whether the segments name a version for every byte of the text. */
export function hasCompleteSegments(
  segments: Segments,
  totalBytes: number,
): boolean {
  let next = 0;
  for (const {from, to} of segments) {
    if (from !== next || to < from) return false;
    next = to;
  }
  return segments.length > 0 && next === totalBytes;
}

/** Returns the version of the oldest segment; -1 when none is named. */
export function findOldestVersion(segments: Segments): number {
  if (segments.length === 0) return -1;
  return Math.min(...segments.map(part => part.version));
}

/** Tells whether a sample's oldest segment is behind the bound. */
export function isStale(
  sample: Pick<Sample, 'segments'>,
  trainerVersion: number,
  stalenessBound: number,
): boolean {
  const oldest = findOldestVersion(sample.segments);
  return oldest < 0 || trainerVersion - oldest > stalenessBound;
}
