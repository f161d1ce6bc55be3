/** Bundles the script of each case into target/review-3/, one file each. */
import {existsSync} from 'node:fs';
import {bundle} from '../bin/bundle_options.mjs';

const entryPoints = {};
for (const number of [11, 12, 13, 14, 15]) {
  const source = `review/${number}/run.ts`;
  if (existsSync(new URL(`../${source}`, import.meta.url))) {
    entryPoints[number] = source;
  }
}
await bundle(entryPoints, 'target/review-3');
