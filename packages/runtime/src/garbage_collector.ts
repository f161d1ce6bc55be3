/**
 * Collects the garbage of buffers early. V8 lets some 64 MB of released buffers
 * wait, and more in a burst, which a small VM does not have. Needs Node's option
 * `--expose-gc`; without it nothing is collected early.
 */

/** Bytes that move between two looks at the process. */
const LOOK_BYTES = 2_000_000;
/** Minimum time between two collections, in ms. */
const MIN_INTERVAL_MS = 10;

/** Collects when buffers that nothing accounts for exceed a bound. */
export class GarbageCollector {
  private movedBytes = 0;
  private collectedAtMs = 0;

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes: number): GarbageCollector {
    return new GarbageCollector(maxBytes);
  }

  /** Counts bytes that came in; `heldBytes` are those in the account. */
  addBytes(bytes: number, heldBytes: number): void {
    this.movedBytes += bytes;
    if (this.movedBytes < LOOK_BYTES) return;
    this.movedBytes = 0;
    this.collectIfNeeded(heldBytes);
  }

  private collectIfNeeded(heldBytes: number): void {
    const {gc} = globalThis;
    const elapsedMs = performance.now() - this.collectedAtMs;
    if (gc === undefined || elapsedMs < MIN_INTERVAL_MS) return;
    const {arrayBuffers} = process.memoryUsage();
    if (arrayBuffers - heldBytes < this.maxBytes) return;
    void gc();
    this.collectedAtMs = performance.now();
  }
}
