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
  readonly coldRemainingMs: number;
  /** Start of this incarnation, in Unix ms. */
  readonly startedAtMs: number;
  /** Weight version of each model. */
  readonly versions: ReadonlyMap<string, number>;
}

/** An entry with what is known of its registration. */
interface Registration {
  readonly entry: EndpointEntry;
  /** Whether the registration is missing, perhaps only for now. */
  isLapsed: boolean;
}

/** Endpoints by their registration. */
export class EndpointDirectory {
  private readonly registrations = new Map<string, Registration>();
  private isStoreUnavailable = false;
  private graceEndsAtMs = 0;

  private constructor() {}

  /** Builds an empty directory. */
  static create(): EndpointDirectory {
    return new EndpointDirectory();
  }

  /** Notes that the store does not answer. */
  markStoreUnavailable(): void {
    this.isStoreUnavailable = true;
  }

  /** Notes that the store answers; lapsed entries have their time from here. */
  markStoreAvailable(nowMs: number): void {
    if (!this.isStoreUnavailable) return;
    this.isStoreUnavailable = false;
    this.graceEndsAtMs = nowMs + LAPSE_GRACE_MS;
  }

  /** Replaces all entries by a complete list. */
  replaceAll(entries: readonly EndpointEntry[], nowMs: number): void {
    const listed = new Set(entries.map(entry => entry.id));
    for (const id of [...this.registrations.keys()]) {
      if (!listed.has(id)) this.remove(id, nowMs);
    }
    for (const entry of entries) this.put(entry);
  }

  /** Takes a new or changed entry. */
  put(entry: EndpointEntry): void {
    this.registrations.set(entry.id, {entry, isLapsed: false});
  }

  /** Takes the end of a registration. */
  remove(id: string, nowMs: number): void {
    const found = this.registrations.get(id);
    if (found === undefined) return;
    const mayReturn = !found.entry.isDraining && nowMs < this.graceEndsAtMs;
    if (mayReturn) found.isLapsed = true;
    else this.registrations.delete(id);
  }

  /** Drops entries that had time to come back and did not. */
  dropLapsed(nowMs: number): string[] {
    if (this.isStoreUnavailable || nowMs < this.graceEndsAtMs) return [];
    const dropped: string[] = [];
    for (const [id, item] of this.registrations) {
      if (!item.isLapsed) continue;
      this.registrations.delete(id);
      dropped.push(id);
    }
    return dropped;
  }

  /** Finds an endpoint that may get work. */
  find(id: string): EndpointEntry | undefined {
    const entry = this.registrations.get(id)?.entry;
    return entry?.isDraining === false ? entry : undefined;
  }

  /**
   * Finds the endpoint at an address, draining or not: the one that started
   * last, since a crashed one stays registered for a while.
   */
  findByAddress(address: string): EndpointEntry | undefined {
    let newest: EndpointEntry | undefined;
    for (const {entry, isLapsed} of this.registrations.values()) {
      if (entry.address !== address || isLapsed) continue;
      if (newest === undefined || entry.startedAtMs > newest.startedAtMs) {
        newest = entry;
      }
    }
    return newest;
  }

  /** Lists the endpoints of a service that may get new work. */
  listUsable(service: string): EndpointEntry[] {
    const usable: EndpointEntry[] = [];
    for (const {entry} of this.registrations.values()) {
      if (entry.service === service && !entry.isDraining) usable.push(entry);
    }
    return usable;
  }

  /** Lists every registered endpoint. */
  listAll(): EndpointEntry[] {
    return [...this.registrations.values()].map(item => item.entry);
  }
}
