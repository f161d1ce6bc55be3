/** Bundles the three roles of the users' platform into target/, a file each. */
import {bundle} from './bundle_options.mjs';

await bundle(
  {
    entry: 'platform/src/entry_main.ts',
    home: 'platform/src/home_main.ts',
    agent: 'platform/src/agent_main.ts',
  },
  'target',
  {minifySyntax: true},
);
