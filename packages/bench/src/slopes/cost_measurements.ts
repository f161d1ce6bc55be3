/** Measures processor time and heap, and formats measurements. */

const US_PER_MS = 1_000;
const HEAP_COPIES = 20;
const WARM_UP_SHARE = 0.1;

/** Figures of one subject at one size; their names end with the unit, if any. */
export interface CostMeasurement {
  readonly name: string;
  readonly size: number;
  readonly figures: Readonly<Record<string, number>>;
}

/** Returns the processor time that this process has used so far, in us. */
export function readCpuUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** Returns the mean processor time of a call in us, after a warm-up. */
export function measureCpuUs(
  repeats: number,
  run: (index: number) => unknown,
): number {
  for (let i = 0; i < repeats * WARM_UP_SHARE; i++) run(i);
  const startedUs = readCpuUs();
  for (let i = 0; i < repeats; i++) run(i);
  return (readCpuUs() - startedUs) / repeats;
}

/** Returns the mean heap of a built value in bytes; needs --expose-gc. */
export function measureHeapBytes(build: () => unknown): number {
  build();
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const copies = Array.from({length: HEAP_COPIES}, build);
  globalThis.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  return used / copies.length;
}

export function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Formats the measurements, one per line. */
export function formatMeasurements(
  measurements: readonly CostMeasurement[],
): string {
  const rows = measurements.map(({name, size, figures}) => {
    const cells = Object.entries(figures).map(
      ([figure, value]) => `${figure} ${value.toFixed(value < 10 ? 2 : 0)}`,
    );
    return `${name}, ${size}: ${cells.join(', ')}`;
  });
  return `${rows.join('\n')}\n`;
}

export function convertToMs(timeUs: number): number {
  return timeUs / US_PER_MS;
}
