/** Bundles each entry point into one CommonJS file. */
import path from 'node:path';
import {build} from 'esbuild';

const ROOT = path.join(import.meta.dirname, '..');

/**
 * Optional dependencies of libraries. Bundles replace them with modules that
 * throw when loaded.
 */
const ABSENT_MODULES = /^(dtrace-provider|mv|moment|source-map-support)$/;

const absentModulesPlugin = {
  name: 'absent-modules',
  setup(bundler) {
    bundler.onResolve({filter: ABSENT_MODULES}, ({path: name}) => ({
      path: name,
      namespace: 'absent',
    }));
    bundler.onLoad({filter: /.*/, namespace: 'absent'}, ({path: name}) => ({
      contents: `throw new Error('${name} is not bundled');`,
      loader: 'js',
    }));
  },
};

/**
 * Bundles entry points into a folder. `entryPoints` maps the name of each
 * output file to its source; `options` override those given to esbuild here.
 */
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
    plugins: [absentModulesPlugin],
    sourcemap: 'linked',
    logLevel: 'warning',
    ...options,
  });
}
