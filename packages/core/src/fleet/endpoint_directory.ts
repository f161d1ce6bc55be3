/**
 * The endpoints that have registered with the platform, and which of them may
 * get work. An entry that disappears while the store is away may come back,
 * since its lease could not be renewed; it counts as gone only when it is
 * still missing some time after the store has returned.
 */

/** Time after the store's return for lapsed entries to come back, in ms: the
 * platform states about two seconds. */
const LAPSE_GRACE_MS = 2_000;

/** An endpoint as it describes itself. */
export interface EndpointEntry {
  /** Name of the endpoint; a restart mostly brings a new one. */
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer the endpoint remains slow after its start, in ms. */
  readonly coldMs: number;
  /** Start of this incarnation, in Unix ms. */
  readonly bornMs: number;
  /** Weight version of each model. */
  readonly versions: ReadonlyMap<string, number>;
}

/** An entry with what is known of its registration. */
interface KnownEntry {
  readonly entry: EndpointEntry;
  /** Whether the registration is missing, perhaps only for now. */
  isLapsed: boolean;
}

/** Endpoints by their registration. */
export class EndpointDirectory {
  private readonly known = new Map<string, KnownEntry>();
  private isStoreAway = false;
  private lapseEndsAtMs = 0;

  private constructor() {}

  /** Builds an empty directory. */
  static create(): EndpointDirectory {
    return new EndpointDirectory();
  }

  /** Notes that the store does not answer. */
  markStoreAway(): void {
    this.isStoreAway = true;
  }

  /** Notes that the store answers; lapsed entries have their time from here. */
  markStoreBack(nowMs: number): void {
    if (!this.isStoreAway) return;
    this.isStoreAway = false;
    this.lapseEndsAtMs = nowMs + LAPSE_GRACE_MS;
  }

  /** Replaces all entries by a complete list. */
  replaceAll(entries: readonly EndpointEntry[], nowMs: number): void {
    const listed = new Set(entries.map(entry => entry.id));
    for (const id of [...this.known.keys()]) {
      if (!listed.has(id)) this.remove(id, nowMs);
    }
    for (const entry of entries) this.put(entry);
  }

  /** Takes a new or changed entry. */
  put(entry: EndpointEntry): void {
    this.known.set(entry.id, {entry, isLapsed: false});
  }

  /** Takes the end of a registration. */
  remove(id: string, nowMs: number): void {
    const found = this.known.get(id);
    if (found === undefined) return;
    const mayReturn = !found.entry.isDraining && nowMs < this.lapseEndsAtMs;
    if (mayReturn) found.isLapsed = true;
    else this.known.delete(id);
  }

  /** Drops entries that had time to come back and did not. */
  dropLapsed(nowMs: number): string[] {
    if (this.isStoreAway || nowMs < this.lapseEndsAtMs) return [];
    const dropped: string[] = [];
    for (const [id, item] of this.known) {
      if (!item.isLapsed) continue;
      this.known.delete(id);
      dropped.push(id);
    }
    return dropped;
  }

  /** Finds an endpoint that may get work. */
  find(id: string): EndpointEntry | undefined {
    const entry = this.known.get(id)?.entry;
    return entry?.isDraining === false ? entry : undefined;
  }

  /**
   * Finds the endpoint at an address, draining or not: the one that started
   * last, since a crashed one stays registered for a while.
   */
  findByAddress(address: string): EndpointEntry | undefined {
    let newest: EndpointEntry | undefined;
    for (const {entry, isLapsed} of this.known.values()) {
      if (entry.address !== address || isLapsed) continue;
      if (newest === undefined || entry.bornMs > newest.bornMs) newest = entry;
    }
    return newest;
  }

  /** Lists the endpoints of a service that may get new work. */
  listUsable(service: string): EndpointEntry[] {
    const usable: EndpointEntry[] = [];
    for (const {entry} of this.known.values()) {
      if (entry.service === service && !entry.isDraining) usable.push(entry);
    }
    return usable;
  }

  /** Lists every registered endpoint. */
  listAll(): EndpointEntry[] {
    return [...this.known.values()].map(item => item.entry);
  }
}
