/** Writes the tables of docs/ERRORS.md and docs/EVENTS.md from the code. */
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {pathToFileURL} from 'node:url';
import {build} from 'esbuild';

const ROOT = path.join(import.meta.dirname, '..');

/** Folder of a bundle of the core that this script can import. */
async function bundleCore() {
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

function replaceTable(file, header, rows) {
  const target = path.join(ROOT, 'docs', file);
  const lines = readFileSync(target, 'utf8').split('\n');
  const first = lines.findIndex(line => line.startsWith('|'));
  const kept = lines.filter(line => !line.startsWith('|'));
  const rule = header.replaceAll(/[^|]+/g, ' --- ');
  kept.splice(first < 0 ? kept.length : first, 0, header, rule, ...rows);
  writeFileSync(target, kept.join('\n'));
}

const {ERROR_ANSWERS, EVENTS} = await bundleCore();
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
