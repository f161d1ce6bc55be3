/** A watch of a kind against a store that is cut, forgets and goes away. */
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

type Answer = 'list' | 'change' | 'cut' | 'gone' | 'down';

/** A store that gives the answers of a script, then is silent. */
function createScriptedStore(script: Answer[], seen: string[]) {
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
  const fail = async () => err(createError('platform-down', 'cut'));
  const take = (call: string) => {
    const answer = script.shift();
    seen.push(`${call} ${answer ?? 'waits'}`);
    return answer;
  };
  return {
    listObjects: (): StoreResult<CollectionListing> => {
      const answer = take('list');
      if (answer === undefined) return never;
      return answer === 'list' ? Promise.resolve(ok(listing)) : fail();
    },
    watchObjects: (): StoreResult<CollectionChanges> => {
      const answer = take('watch');
      if (answer === undefined) return never;
      if (answer === 'change') return Promise.resolve(ok(changes));
      if (answer !== 'gone') return fail();
      return Promise.resolve(err(createError('history-gone', '')));
    },
  } as unknown as ObjectCollections;
}

async function followScript(script: Answer[]): Promise<string[]> {
  const seen: string[] = [];
  const watch = CollectionWatch.create({
    store: createScriptedStore(script, seen),
    kind: 'k',
    clock: SYSTEM_CLOCK,
    random: () => 0,
    log: SILENT_LOG,
    waitMs: 100,
    minIntervalMs: 0,
    onListed: objects => seen.push(`listed ${objects.length}`),
    onChanged: changes => seen.push(`changed ${changes.length}`),
    onStoreUnavailable: () => seen.push('away'),
    onStoreAvailable: () => seen.push('back'),
  });
  void watch.run();
  while (!seen.some(line => line.endsWith('waits'))) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  watch.stop();
  return seen;
}

test('a cut watch is opened again and says nothing of the store', async () => {
  const seen = await followScript(['list', 'cut', 'change']);
  expect(seen).toMatchInlineSnapshot(`
    [
      "list list",
      "listed 1",
      "watch cut",
      "watch change",
      "changed 1",
      "watch waits",
    ]
  `);
});

test('a history that is gone leads to a new list at once', async () => {
  const seen = await followScript(['list', 'change', 'gone', 'list']);
  expect(seen).toMatchInlineSnapshot(`
    [
      "list list",
      "listed 1",
      "watch change",
      "changed 1",
      "watch gone",
      "list list",
      "listed 1",
      "watch waits",
    ]
  `);
});

test('two failures in a row mean that the store is away', async () => {
  const seen = await followScript([
    'list',
    'cut',
    'down',
    'down',
    'list',
    'change',
  ]);
  expect(seen).toMatchInlineSnapshot(`
    [
      "list list",
      "listed 1",
      "watch cut",
      "watch down",
      "away",
      "list down",
      "list list",
      "back",
      "listed 1",
      "watch change",
      "changed 1",
      "watch waits",
    ]
  `);
});
