/**
 * A watch of a collection while connections break, the store discards history
 * or becomes unavailable.
 */
import {SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {createError} from '@sassafrasspan/core';
import {err, ok} from 'neverthrow';
import {CollectionWatch} from './collection_watch';
import type {
  CollectionChanges,
  CollectionListing,
  ObjectCollections,
  StoreResult,
} from './object_collections';

type Answer = 'list' | 'change' | 'broken' | 'expired' | 'down';

/** Creates a store that gives scripted answers, then never answers again. */
function createScriptedStore(script: Answer[], events: string[]) {
  const never = new Promise<never>(() => undefined);
  const listing: CollectionListing = {
    objects: [{name: 'a', version: 1, value: 1, status: null}],
    storeVersion: 1,
  };
  const changes: CollectionChanges = {
    changes: [
      {
        object: {name: 'b', version: 2, value: 2, status: null},
        isRemoved: false,
      },
    ],
    storeVersion: 2,
  };
  const fail = async () => err(createError('platform-down', 'broken'));
  const takeAnswer = (call: string) => {
    const answer = script.shift();
    events.push(`${call} ${answer ?? 'waits'}`);
    return answer;
  };
  return {
    listObjects: (): StoreResult<CollectionListing> => {
      const answer = takeAnswer('list');
      if (answer === undefined) return never;
      return answer === 'list' ? Promise.resolve(ok(listing)) : fail();
    },
    watchObjects: (): StoreResult<CollectionChanges> => {
      const answer = takeAnswer('watch');
      if (answer === undefined) return never;
      if (answer === 'change') return Promise.resolve(ok(changes));
      if (answer !== 'expired') return fail();
      return Promise.resolve(err(createError('history-gone', '')));
    },
  } as unknown as ObjectCollections;
}

async function runScript(script: Answer[]): Promise<string[]> {
  const events: string[] = [];
  const watch = CollectionWatch.create({
    store: createScriptedStore(script, events),
    kind: 'k',
    clock: SYSTEM_CLOCK,
    random: () => 0,
    log: SILENT_LOG,
    waitMs: 100,
    minIntervalMs: 0,
    onListed: objects => events.push(`listed ${objects.length}`),
    onChanged: changes => events.push(`changed ${changes.length}`),
    onStoreUnavailable: () => events.push('unavailable'),
    onStoreAvailable: () => events.push('available'),
  });
  void watch.run();
  while (!events.some(line => line.endsWith('waits'))) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  watch.stop();
  return events;
}

test('a broken watch resumes and does not report an outage', async () => {
  const events = await runScript(['list', 'broken', 'change']);
  expect(events).toMatchInlineSnapshot(`
    [
      "list list",
      "listed 1",
      "watch broken",
      "watch change",
      "changed 1",
      "watch waits",
    ]
  `);
});

test('a watch whose history has expired lists again at once', async () => {
  const events = await runScript(['list', 'change', 'expired', 'list']);
  expect(events).toMatchInlineSnapshot(`
    [
      "list list",
      "listed 1",
      "watch change",
      "changed 1",
      "watch expired",
      "list list",
      "listed 1",
      "watch waits",
    ]
  `);
});

test('two failures in a row report the store as unavailable', async () => {
  const events = await runScript([
    'list',
    'broken',
    'down',
    'down',
    'list',
    'change',
  ]);
  expect(events).toMatchInlineSnapshot(`
    [
      "list list",
      "listed 1",
      "watch broken",
      "watch down",
      "unavailable",
      "list down",
      "list list",
      "available",
      "listed 1",
      "watch change",
      "changed 1",
      "watch waits",
    ]
  `);
});
