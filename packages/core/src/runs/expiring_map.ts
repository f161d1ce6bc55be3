interface ExpiringValue<T> {
  readonly value: T;
  readonly expiresAtMs: number;
}

/**
 * A map in which each value has an expiry time of its own. Expired values are
 * still returned until `removeExpired` is called.
 */
export class ExpiringMap<T> {
  private readonly values = new Map<string, ExpiringValue<T>>();

  private constructor() {}

  static create<T>(): ExpiringMap<T> {
    return new ExpiringMap<T>();
  }

  /**
   * Stores a value until `expiresAtMs`, or until the expiry time of the value
   * that it replaces if that is later.
   */
  set(name: string, value: T, expiresAtMs: number): void {
    const previousMs = this.values.get(name)?.expiresAtMs ?? expiresAtMs;
    const latestMs = Math.max(previousMs, expiresAtMs);
    this.values.set(name, {value, expiresAtMs: latestMs});
  }

  get(name: string): T | undefined {
    return this.values.get(name)?.value;
  }

  has(name: string): boolean {
    return this.values.has(name);
  }

  remove(name: string): void {
    this.values.delete(name);
  }

  /** Removes the values whose expiry time is before `nowMs`. */
  removeExpired(nowMs: number): void {
    for (const [name, entry] of this.values) {
      if (entry.expiresAtMs < nowMs) this.values.delete(name);
    }
  }

  /** Returns the number of values, expired ones that remain included. */
  count(): number {
    return this.values.size;
  }
}
