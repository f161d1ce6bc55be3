/** A map whose entries are kept up to a tick of their own. */

/** A value with the last tick at which it holds. */
interface ExpiringValue<T> {
  readonly value: T;
  readonly expiresAtMs: number;
}

/** Values by name, each kept up to and including a tick. */
export class ExpiringMap<T> {
  private readonly values = new Map<string, ExpiringValue<T>>();

  private constructor() {}

  /** Builds an empty map. */
  static create<T>(): ExpiringMap<T> {
    return new ExpiringMap<T>();
  }

  /** Stores a value; an earlier one does not shorten its time. */
  set(name: string, value: T, untilTick: number): void {
    const earlier = this.values.get(name)?.expiresAtMs ?? untilTick;
    const latest = Math.max(earlier, untilTick);
    this.values.set(name, {value, expiresAtMs: latest});
  }

  /** Returns a value that has not been removed. */
  get(name: string): T | undefined {
    return this.values.get(name)?.value;
  }

  /** Tells whether a name has a value. */
  has(name: string): boolean {
    return this.values.has(name);
  }

  /** Removes a value. */
  remove(name: string): void {
    this.values.delete(name);
  }

  /** Removes the values whose tick has passed. */
  removeExpired(nowMs: number): void {
    for (const [name, kept] of this.values) {
      if (kept.expiresAtMs < nowMs) this.values.delete(name);
    }
  }

  /** Returns the number of values. */
  count(): number {
    return this.values.size;
  }
}
