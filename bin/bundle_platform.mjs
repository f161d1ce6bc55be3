/**
 * Bundles the three roles for the users' platform into target/, one file each.
 * `home` is the coordinator's role.
 */
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
