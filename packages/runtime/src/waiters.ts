/** Calls that wait for something to happen, each for a limited time. */
export class Waiters {
  private readonly waiting = new Set<() => void>();

  private constructor() {}

  /** Builds a set in which nobody waits. */
  static create(): Waiters {
    return new Waiters();
  }

  /** Waits to be woken, for a time in ms at most. */
  wait(limitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, limitMs);
      this.waiting.add(finish);
      signal.addEventListener('abort', finish, {once: true});
    });
  }

  /** Wakes all that wait. */
  wakeAll(): void {
    for (const wake of [...this.waiting]) wake();
  }
}
