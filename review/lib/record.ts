/**
 * The record of a case, and the frame in which a case runs: 1 if the rule was
 * broken, 0 if it held, 2 if the case couldn't run.
 */
import {existsSync, writeFileSync} from 'node:fs';
import path from 'node:path';

/** Time after which a case is given up, in ms. */
const LIMIT_MS = 115_000;

/** Root of the repository, also when run from a bundle. */
export const ROOT = findRoot();

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

const startedAtMs = Date.now();
const lines: string[] = [];

/** Adds a line to the record. */
export function note(text: string): void {
  const seconds = ((Date.now() - startedAtMs) / 1_000).toFixed(3);
  lines.push(`${seconds.padStart(8)} ${text}`);
}

/** Runs a case; it returns the breaches that it has found. */
export function runCase(
  name: string,
  run: (
    addCleanup: (task: () => Promise<void> | void) => void,
  ) => Promise<string[]>,
): void {
  const file = path.join(ROOT, 'review', name, 'record.txt');
  const cleanups: Array<() => Promise<void> | void> = [];
  const finish = async (code: number, verdict: string) => {
    note(verdict);
    for (const task of cleanups.reverse()) {
      try {
        await task();
      } catch (error) {
        note(`cleanup: ${String(error)}`);
      }
    }
    writeFileSync(file, `${lines.join('\n')}\n`);
    process.stdout.write(`case ${name}: ${verdict}\n`);
    process.exit(code);
  };
  note(`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`);
  setTimeout(() => void finish(2, "couldn't run: out of time"), LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => void finish(2, `couldn't run: ${signal}`));
  }
  run(task => cleanups.push(task)).then(
    breaches => {
      for (const breach of breaches.slice(0, 40)) note(`breach: ${breach}`);
      void (breaches.length > 0
        ? finish(1, `rule broken, ${breaches.length} times`)
        : finish(0, 'rule held'));
    },
    error => {
      const text = error instanceof Error ? error.stack : String(error);
      void finish(2, `couldn't run: ${text}`);
    },
  );
}

function findRoot(): string {
  let folder = __dirname;
  while (!existsSync(path.join(folder, 'package-lock.json'))) {
    folder = path.dirname(folder);
  }
  return folder;
}
