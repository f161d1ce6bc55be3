/** Processor time, heap and the lines that slopes are printed from. */

const US_PER_MS = 1_000;
const HEAP_COPIES = 20;
const WARM_UP_SHARE = 0.1;

/** One measurement: what was measured, at which size, and the figures. */
export interface CostMeasurement {
  readonly name: string;
  readonly size: number;
  readonly figures: Readonly<Record<string, number>>;
}

/** Returns the processor time that this process has used, in us. */
export function readCpuUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** Returns the processor time of one call in us. */
export function measureCpuUs(
  repeats: number,
  run: (index: number) => unknown,
): number {
  for (let i = 0; i < repeats * WARM_UP_SHARE; i++) run(i);
  const startedUs = readCpuUs();
  for (let i = 0; i < repeats; i++) run(i);
  return (readCpuUs() - startedUs) / repeats;
}

/** Returns the heap of one built value in bytes; needs --expose-gc. */
export function measureHeapBytes(build: () => unknown): number {
  build();
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = Array.from({length: HEAP_COPIES}, build);
  globalThis.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  return used / kept.length;
}

/** Waits for a time in ms. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Formats lines, one measurement a line. */
export function formatMeasurements(lines: readonly CostMeasurement[]): string {
  const rows = lines.map(({name, size, figures}) => {
    const cells = Object.entries(figures).map(
      ([figure, value]) => `${figure} ${value.toFixed(value < 10 ? 2 : 0)}`,
    );
    return `${name}, ${size}: ${cells.join(', ')}`;
  });
  return `${rows.join('\n')}\n`;
}

/** Returns a time in us as ms. */
export function convertToMs(timeUs: number): number {
  return timeUs / US_PER_MS;
}
