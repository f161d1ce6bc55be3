/** Bundles the script of each case, with the project's stand-ins. */
import {existsSync} from 'node:fs';
import {bundle} from '../bin/bundle_options.mjs';

const names = ['1', '2', '3', '4', '5'].filter(name =>
  existsSync(`review/${name}/case.ts`),
);
const entries = Object.fromEntries(
  names.map(name => [`case_${name}`, `review/${name}/case.ts`]),
);
await bundle(entries, 'target/review');
