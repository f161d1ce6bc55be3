/**
 * A client may be closed while a request is in flight, as when an agent's
 * address changes. Its calls must then report a loss and never throw.
 */
import {AgentClient} from './agent_client';
import {EntryClient} from './entry_client';

const ADDRESS = '127.0.0.1:1';

function createClosedAgent(): AgentClient {
  const client = AgentClient.create(ADDRESS);
  client.close();
  return client;
}

test('a stream of a closed client is reported as lost', async () => {
  const client = createClosedAgent();
  const lost = await new Promise(resolve => {
    client.watch(
      {node: 'entry', rulesRevision: 0},
      {receiveMessage: () => undefined, handleLoss: () => resolve('lost')},
    );
  });
  expect(lost).toBe('lost');
});

test('an acknowledgement of a closed client does not throw', () => {
  expect(() => createClosedAgent().acknowledgeRun('r', true)).not.toThrow();
});

test('a unary call of a closed client returns an error', async () => {
  const rules = await createClosedAgent().fetchRules(0);
  expect(rules._unsafeUnwrapErr().kind).toBe('agent-lost');
  const entry = EntryClient.create(ADDRESS);
  entry.close();
  const fetched = await entry.fetchRules(0);
  expect(fetched._unsafeUnwrapErr().kind).toBe('agent-lost');
});
