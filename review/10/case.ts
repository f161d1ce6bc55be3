/** A server leaves while the store is down, and says so in its answers. */
import {
  TestClient,
  createRequestId,
  waitUntil,
} from '../../platform/src/testing/test_clients';
import {SERVER_PORT} from '../../platform/src/testing/process_deployment';
import {LeavingService} from '../lib2/leaving_service';
import {CaseContext, runCase, waitFor} from '../lib2/review_case';

const DRAIN_MS = 2_000;
/** How much longer than that the server goes on. */
const LITTLE_LONGER_MS = 900;
const OUTAGE_MS = 4_500;
const LEAVES_AFTER_MS = 300;
const WORK_MS = 200;
const INTERVAL_MS = 25;

interface Sent {
  readonly id: string;
  readonly entry: string;
  readonly sentAtMs: number;
  answeredAtMs: number;
  status: number;
}

async function run(context: CaseContext): Promise<string[]> {
  const {deployment, record, trouble} = context;
  const {store} = deployment;
  const host = deployment.vms[0].host.replace(/\.\d+\.\d+$/, '.9.1');
  const servers = await Promise.all(
    [0, 1, 2, 3].map(n =>
      LeavingService.start(store, host, SERVER_PORT + n, WORK_MS),
    ),
  );
  const entries = deployment.listVms('entry').map(vm => ({
    name: vm.name,
    client: TestClient.create(() => deployment.getCallerAddress(vm)),
  }));
  const sent: Sent[] = [];
  const send = async (n: number) => {
    const {name, client} = entries[n % entries.length];
    const id = createRequestId();
    const call: Sent = {
      ...{id, entry: name, sentAtMs: performance.now()},
      ...{answeredAtMs: Infinity, status: 0},
    };
    sent.push(call);
    const headers = {'request-id': id};
    const reply = await client.call('POST', '/once/book', 'x', headers);
    call.status = reply?.status ?? 0;
    call.answeredAtMs = performance.now();
  };
  for (const {client} of entries) {
    await waitUntil('an entry serves', async () => {
      const headers = {'request-id': createRequestId()};
      const reply = await client.call('POST', '/once/a', 'x', headers);
      return reply?.status === 200;
    });
  }
  let count = 0;
  const timer = setInterval(() => void send((count += 1)), INTERVAL_MS);
  await waitFor(2_000);
  if (trouble) {
    store.mode = 'busy';
    store.closeConnections();
  }
  record(trouble ? 'the store is down' : 'the store stays up');
  const [leaving] = servers;
  await waitFor(LEAVES_AFTER_MS);
  leaving.leave();
  record(`${leaving.id} leaves; its entry is removed`);
  await waitFor(DRAIN_MS + LITTLE_LONGER_MS);
  leaving.exit();
  record(`${leaving.id} has exited`);
  await waitFor(OUTAGE_MS - LEAVES_AFTER_MS - DRAIN_MS - LITTLE_LONGER_MS);
  store.mode = 'up';
  record('the store is up');
  await waitFor(3_000);
  clearInterval(timer);
  await waitFor(3_000);
  const faults: string[] = [];
  let late = 0;
  let lost = 0;
  for (const {name, client} of entries) {
    client.close();
    const own = sent.filter(({entry}) => entry === name);
    const namedAtMs = Math.min(
      ...own
        .filter(({id}) => leaving.named.has(id))
        .map(call => call.answeredAtMs),
    );
    for (const {id, sentAtMs, status} of own) {
      const arrival = leaving.executed.find(request => request.id === id);
      if (arrival === undefined || sentAtMs <= namedAtMs + DRAIN_MS) continue;
      late += 1;
      if (!arrival.isAnswered) lost += 1;
      record(
        `${name}: ${id} sent ${Math.round(sentAtMs - namedAtMs)} ms after the first answer with Server-Leaving ran at ${leaving.id}, answered ${status}`,
      );
    }
  }
  record(`${late} requests ran too late, ${lost} of them were cut`);
  if (late > 0) faults.push(`${late} requests reached the leaving server`);
  for (const server of servers) server.exit();
  return faults;
}

void runCase({
  number: 10,
  size: {entries: 2, coordinators: 2, agents: 1, plainServices: 0},
  run,
});
