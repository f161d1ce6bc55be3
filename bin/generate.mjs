/**
 * Generates the gRPC code of packages/nodes from its .proto file; all tools
 * come from npm packages. With --check it generates into a temporary folder
 * instead and fails if the committed code differs.
 */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

const ROOT = path.join(import.meta.dirname, '..');
const NODES = path.join(ROOT, 'packages/nodes');
const OUTPUT = 'src/generated/nodes.ts';
const BIN = path.join(ROOT, 'node_modules/.bin');

function generate(outDir) {
  execFileSync(path.join(BIN, 'buf'), ['generate', '-o', outDir], {
    cwd: NODES,
    env: {...process.env, PATH: `${BIN}${path.delimiter}${process.env.PATH}`},
    stdio: 'inherit',
  });
}

function check() {
  const dir = mkdtempSync(path.join(tmpdir(), 'sassafrasspan-generate-'));
  generate(dir);
  const generated = readFileSync(path.join(dir, OUTPUT), 'utf8');
  const committed = readFileSync(path.join(NODES, OUTPUT), 'utf8');
  rmSync(dir, {recursive: true});
  if (generated === committed) return;
  console.error('Generated code is out of date: run npm run generate.');
  process.exit(1);
}

if (process.argv.includes('--check')) check();
else generate(NODES);
