/**
 * Bundles the server and the developers' tools into dist/, each as one CommonJS
 * file.
 */
import {bundle} from './bundle_options.mjs';

await bundle(
  {
    sassafrasspan: 'packages/server/src/main.ts',
    standins: 'packages/standins/src/main.ts',
    demo: 'packages/harness/src/demo.ts',
    bench: 'packages/bench/src/main.ts',
    bench_waiting: 'packages/bench/src/waiting/main.ts',
    soak: 'platform/src/soak/soak_main.ts',
    bench_slopes: 'packages/bench/src/slopes/main.ts',
  },
  'dist',
);
