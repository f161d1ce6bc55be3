/**
 * Where streams began: the service and the software version whose output a caller
 * has received a part of. Output of two software versions does not fit together,
 * so that a stream goes on only where it began. Each origin is kept by a few
 * entries, since the caller takes the stream up at any of them, and by a few nodes
 * of other roles, since all entries can be lost at once.
 *
 * A caller names the call that began the stream. If it does not, an equal request
 * is looked up, whose origin is known only if all such streams began alike.
 */
import {ExpiringMap} from '../runs/expiring_map';
import {rankByRendezvous} from '../shared/hash';

/** Number of entries that keep an origin: two may be lost. */
const ENTRY_KEEPER_COUNT = 3;
/** Number of other nodes that keep an origin, for the loss of all entries. */
const OTHER_KEEPER_COUNT = 2;
/** Time for which an origin is kept, in ms: longer than callers retry. */
const ORIGIN_TTL_MS = 60_000;

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: string;
  readonly software: string;
}

/** Names by which a stream is found. */
export interface StreamNames {
  /** Id of the call that began the stream; undefined if it is not named. */
  readonly callId: string | undefined;
  /** The same for equal requests. */
  readonly fingerprint: string;
}

/** Returns the key under which the origin of a stream is looked up. */
export function createOriginKey({callId, fingerprint}: StreamNames): string {
  return callId === undefined ? `request ${fingerprint}` : `call ${callId}`;
}

/** Names of the nodes that keep an origin. */
export interface OriginKeepers {
  readonly entries: readonly string[];
  readonly others: readonly string[];
}

/** Returns the nodes, of those named, that keep the origin under a key. */
export function rankOriginKeepers(
  key: string,
  {entries, others}: OriginKeepers,
): OriginKeepers {
  return {
    entries: rankByRendezvous(key, entries).slice(0, ENTRY_KEEPER_COUNT),
    others: rankByRendezvous(key, others).slice(0, OTHER_KEEPER_COUNT),
  };
}

/** Returns the origin on which all agree; undefined if there is none. */
export function mergeOrigins(
  origins: readonly StreamOrigin[],
): StreamOrigin | undefined {
  const [first] = origins;
  const isSame = origins.every(
    ({service, software}) =>
      service === first.service && software === first.software,
  );
  return isSame ? first : undefined;
}

/** Origins by key. */
export class StreamOrigins {
  private readonly origins = ExpiringMap.create<readonly StreamOrigin[]>();

  private constructor() {}

  static create(): StreamOrigins {
    return new StreamOrigins();
  }

  record(key: string, origin: StreamOrigin, nowMs: number): void {
    this.origins.removeExpired(nowMs);
    const known = this.list(key);
    const isKnown = known.some(other => mergeOrigins([other, origin]));
    const origins = isKnown ? known : [...known, origin];
    this.origins.set(key, origins, nowMs + ORIGIN_TTL_MS);
  }

  /** Lists the different origins that were recorded under a key. */
  list(key: string): readonly StreamOrigin[] {
    return this.origins.get(key) ?? [];
  }
}
