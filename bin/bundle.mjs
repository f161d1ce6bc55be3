/**
 * Bundles the program and the developers' tools into dist/: one CommonJS
 * file each.
 */
import path from 'node:path';
import {build} from 'esbuild';

const ROOT = path.join(import.meta.dirname, '..');

/** Bundle name to entry point. */
const ENTRY_POINTS = {
  sassafrasspan: 'packages/server/src/main.ts',
  standins: 'packages/standins/src/main.ts',
  demo: 'packages/harness/src/demo.ts',
  bench: 'packages/bench/src/main.ts',
  bench_waiting: 'packages/bench/src/waiting/main.ts',
  bench_slopes: 'packages/bench/src/slopes/main.ts',
};

/** Optional native parts of libraries, replaced by modules that throw. */
const ABSENT = /^(dtrace-provider|mv|moment|source-map-support)$/;

const absentModules = {
  name: 'absent-modules',
  setup(bundler) {
    bundler.onResolve({filter: ABSENT}, ({path: name}) => ({
      path: name,
      namespace: 'absent',
    }));
    bundler.onLoad({filter: /.*/, namespace: 'absent'}, ({path: name}) => ({
      contents: `throw new Error('${name} is not bundled');`,
      loader: 'js',
    }));
  },
};

await build({
  absWorkingDir: ROOT,
  entryPoints: ENTRY_POINTS,
  outdir: 'dist',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  plugins: [absentModules],
  sourcemap: 'linked',
  logLevel: 'warning',
});
