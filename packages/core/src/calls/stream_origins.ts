/**
 * Where streams began: the service and the software version whose output a caller
 * has received a part of. Output of two software versions does not fit together,
 * so that a stream goes on only where it began. Each origin is kept by a few
 * entries, since the caller takes the stream up at any of them.
 */
import {ExpiringMap} from '../runs/expiring_map';
import {rankByRendezvous} from '../shared/hash';

/** Number of entries that keep an origin: two may be lost. */
const KEEPER_COUNT = 3;
/** Time for which an origin is kept, in ms: longer than callers retry. */
const ORIGIN_TTL_MS = 60_000;

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: string;
  readonly software: string;
}

/** Returns the entries, of those named, that keep the origin of a stream. */
export function rankOriginKeepers(
  callId: string,
  names: readonly string[],
): string[] {
  return rankByRendezvous(callId, names).slice(0, KEEPER_COUNT);
}

/** Origins by the id of the call that began the stream. */
export class StreamOrigins {
  private readonly origins = ExpiringMap.create<StreamOrigin>();

  private constructor() {}

  static create(): StreamOrigins {
    return new StreamOrigins();
  }

  /** Keeps the first origin of a stream that is recorded. */
  record(callId: string, origin: StreamOrigin, nowMs: number): void {
    this.origins.removeExpired(nowMs);
    if (this.origins.has(callId)) return;
    this.origins.set(callId, origin, nowMs + ORIGIN_TTL_MS);
  }

  find(callId: string): StreamOrigin | undefined {
    return this.origins.get(callId);
  }
}
