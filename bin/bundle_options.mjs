/** Bundles entry points into CommonJS files, one each. */
import path from 'node:path';
import {build} from 'esbuild';

const ROOT = path.join(import.meta.dirname, '..');

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

/** Bundles entry points, by their names, into a folder. */
export async function bundle(entryPoints, outdir, options = {}) {
  await build({
    absWorkingDir: ROOT,
    entryPoints,
    outdir,
    outExtension: {'.js': '.cjs'},
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    plugins: [absentModules],
    sourcemap: 'linked',
    logLevel: 'warning',
    ...options,
  });
}
