/**
 * Builds the executable dist/sassafrasspan from dist/sassafrasspan.cjs as a
 * Node single executable application (SEA).
 */
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {inject} from 'postject';

const DIST = path.join(import.meta.dirname, '../dist');
/** Marker in the Node executable that postject flips; fixed by Node. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const EXECUTABLE_MODE = 0o755;

const config = path.join(DIST, 'sea.json');
const blob = path.join(DIST, 'sassafrasspan.blob');
const binary = path.join(DIST, 'sassafrasspan');

writeFileSync(
  config,
  JSON.stringify({
    main: path.join(DIST, 'sassafrasspan.cjs'),
    output: blob,
    disableExperimentalSEAWarning: true,
    useCodeCache: false,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', config], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, binary);
await inject(binary, 'NODE_SEA_BLOB', readFileSync(blob), {
  sentinelFuse: SENTINEL_FUSE,
});
chmodSync(binary, EXECUTABLE_MODE);
