/** Updates the tables in docs/ERRORS.md and docs/EVENTS.md from the code. */
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {pathToFileURL} from 'node:url';
import {build} from 'esbuild';

const ROOT = path.join(import.meta.dirname, '..');

/** Bundles packages/core, which is TypeScript, and imports the bundle. */
async function importCore() {
  const folder = mkdtempSync(path.join(tmpdir(), 'sassafrasspan-docs-'));
  const outfile = path.join(folder, 'core.mjs');
  await build({
    absWorkingDir: ROOT,
    entryPoints: ['packages/core/src/index.ts'],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
  });
  return import(pathToFileURL(outfile).href);
}

/** Replaces the only table of a page, or appends it if there is none. */
function replaceTable(file, header, rows) {
  const target = path.join(ROOT, 'docs', file);
  const lines = readFileSync(target, 'utf8').split('\n');
  const first = lines.findIndex(line => line.startsWith('|'));
  const textLines = lines.filter(line => !line.startsWith('|'));
  const separator = header.replaceAll(/[^|]+/g, ' --- ');
  const index = first < 0 ? textLines.length : first;
  textLines.splice(index, 0, header, separator, ...rows);
  writeFileSync(target, textLines.join('\n'));
}

const {ERROR_ANSWERS, EVENTS} = await importCore();
replaceTable(
  'ERRORS.md',
  '| kind | status | outcome | retry after (ms) | meaning |',
  Object.entries(ERROR_ANSWERS).map(
    ([kind, answer]) =>
      `| \`${kind}\` | ${answer.status} | ${answer.outcome} | ${answer.retryAfterMs} | ${answer.summary} |`,
  ),
);
replaceTable(
  'EVENTS.md',
  '| number | event | level | meaning |',
  Object.entries(EVENTS).map(
    ([name, event]) =>
      `| ${event.number} | \`${name}\` | ${event.level} | ${event.meaning} |`,
  ),
);
