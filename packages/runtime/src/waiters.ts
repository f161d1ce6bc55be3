/** Callers that wait, each with a time limit, until they are all woken. */
export class Waiters {
  private readonly waiting = new Set<() => void>();

  private constructor() {}

  static create(): Waiters {
    return new Waiters();
  }

  /** Resolves when woken, after the time limit, or when the signal aborts. */
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

  /** Wakes all current waiters. */
  wakeAll(): void {
    for (const wake of [...this.waiting]) wake();
  }
}
