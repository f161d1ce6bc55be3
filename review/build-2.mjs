/** Bundles the cases of the second review, with their stand-ins. */
import {existsSync} from 'node:fs';
import {bundle} from '../bin/bundle_options.mjs';

const NUMBERS = [6, 7, 8, 9, 10];

const entryPoints = NUMBERS.map(number => [
  String(number),
  `review/${number}/case.ts`,
]).filter(([, file]) => existsSync(file));

await bundle(Object.fromEntries(entryPoints), 'target/review-2');
