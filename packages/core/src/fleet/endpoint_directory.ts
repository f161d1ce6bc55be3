/**
 * The endpoints registered with the platform, and which of them may receive
 * work. A lease cannot be renewed while the store is unavailable, so a
 * registration that expires in an outage is kept as lapsed. It is removed only
 * if it is still missing after a grace period that starts when the store is
 * available again.
 */

/**
 * Grace period for lapsed registrations after an outage of the store, in ms.
 * The platform specifies about two seconds.
 */
const LAPSE_GRACE_MS = 2_000;
/** Maximum number of endpoints that are remembered as leaving; the oldest are
 * forgotten. */
const MAX_LEAVING = 1_000;

/** An endpoint as it describes itself. */
export interface EndpointEntry {
  /** Name of the endpoint; usually changes when the endpoint restarts. */
  readonly id: string;
  readonly service: string;
  /** Version of the endpoint's software; versions have no order. */
  readonly software: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time for which the endpoint is slow after its start, in ms. */
  readonly coldRemainingMs: number;
  /** Start of this incarnation, in Unix ms. */
  readonly startedAtMs: number;
  /** Weight version of each model. */
  readonly versions: ReadonlyMap<string, number>;
}

/** An endpoint and the state of its registration. */
interface Registration {
  readonly entry: EndpointEntry;
  /** Whether the registration is missing from the store but may return. */
  isLapsed: boolean;
}

/** Registered endpoints by name. */
export class EndpointDirectory {
  private readonly registrations = new Map<string, Registration>();
  /** Starts of the incarnations that have said that they leave, by name. They are
   * remembered beyond their registrations, which may return after an outage. */
  private readonly leaving = new Map<string, number>();
  private isStoreUnavailable = false;
  private graceEndsAtMs = 0;

  private constructor() {}

  static create(): EndpointDirectory {
    return new EndpointDirectory();
  }

  /** Records that the store is unavailable. */
  markStoreUnavailable(): void {
    this.isStoreUnavailable = true;
  }

  /** Records that the store answers again and starts the grace period. */
  markStoreAvailable(nowMs: number): void {
    if (!this.isStoreUnavailable) return;
    this.isStoreUnavailable = false;
    this.graceEndsAtMs = nowMs + LAPSE_GRACE_MS;
  }

  /** Replaces the directory's contents with a complete list. */
  replaceAll(entries: readonly EndpointEntry[], nowMs: number): void {
    const listed = new Set(entries.map(entry => entry.id));
    for (const id of [...this.registrations.keys()]) {
      if (!listed.has(id)) this.remove(id, nowMs);
    }
    for (const entry of entries) this.put(entry);
  }

  /** Adds or replaces an endpoint. */
  put(entry: EndpointEntry): void {
    const isLeaving = this.leaving.get(entry.id) === entry.startedAtMs;
    const known = isLeaving ? {...entry, isDraining: true} : entry;
    this.registrations.set(entry.id, {entry: known, isLapsed: false});
  }

  /**
   * Records that an endpoint has said in an answer that it leaves, which may be
   * before its registration says so or while the store cannot be read: it is
   * draining from now on. Returns false if that was known.
   */
  markLeaving({id, startedAtMs}: EndpointEntry): boolean {
    if (this.leaving.get(id) === startedAtMs) return false;
    this.leaving.delete(id);
    this.leaving.set(id, startedAtMs);
    if (this.leaving.size > MAX_LEAVING) {
      const [oldest] = this.leaving.keys();
      this.leaving.delete(oldest);
    }
    const registration = this.registrations.get(id);
    if (registration?.entry.startedAtMs !== startedAtMs) return true;
    const {entry, isLapsed} = registration;
    const draining = {...entry, isDraining: true};
    this.registrations.set(id, {entry: draining, isLapsed});
    return !entry.isDraining;
  }

  /**
   * Removes an endpoint, or marks it as lapsed in the grace period. A draining
   * endpoint is always removed.
   */
  remove(id: string, nowMs: number): void {
    const registration = this.registrations.get(id);
    if (registration === undefined) return;
    const mayReturn =
      !registration.entry.isDraining && nowMs < this.graceEndsAtMs;
    if (mayReturn) registration.isLapsed = true;
    else this.registrations.delete(id);
  }

  /** Removes lapsed endpoints after the grace period and returns their names. */
  dropLapsed(nowMs: number): string[] {
    if (this.isStoreUnavailable || nowMs < this.graceEndsAtMs) return [];
    const dropped: string[] = [];
    for (const [id, registration] of this.registrations) {
      if (!registration.isLapsed) continue;
      this.registrations.delete(id);
      dropped.push(id);
    }
    return dropped;
  }

  /** Returns the endpoint; undefined if it is unknown or draining. */
  find(id: string): EndpointEntry | undefined {
    const entry = this.registrations.get(id)?.entry;
    return entry?.isDraining === false ? entry : undefined;
  }

  /**
   * Returns the endpoint at an address, draining or not. If there are several,
   * the one that started last is returned, since a crashed endpoint stays
   * registered until its lease expires.
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

  /** Lists the endpoints of a service that may receive new work. */
  listUsable(service: string): EndpointEntry[] {
    const usable: EndpointEntry[] = [];
    for (const {entry} of this.registrations.values()) {
      if (entry.service === service && !entry.isDraining) usable.push(entry);
    }
    return usable;
  }

  /** Lists every endpoint, including draining and lapsed ones. */
  listAll(): EndpointEntry[] {
    return [...this.registrations.values()].map(({entry}) => entry);
  }
}
