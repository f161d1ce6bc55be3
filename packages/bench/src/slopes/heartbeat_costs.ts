/**
 * Cost of watching agents over loopback: CPU time, memory, and bytes sent over
 * TCP, including the protocol's framing but not TCP/IP headers. Both ends run in
 * this process, so CPU time and memory are those of both ends together.
 */
import {createServer, connect} from 'node:net';
import {
  AgentClient,
  AgentHandlers,
  AgentHeartbeat,
  MessageWriter,
  NodeServer,
} from '@sassafrasspan/nodes';
import {CostMeasurement, readCpuUs, waitMs} from './cost_measurements';

const WATCHED_AGENTS = [8, 32, 96];
const ENDPOINTS_PER_AGENT = [1, 6, 12];
const HEARTBEAT_INTERVAL_MS = 100;
const WARM_UP_MS = 1_000;
const MEASUREMENT_MS = 4_000;

/** Bytes that a proxy has forwarded, in both directions. */
interface ByteCounter {
  bytes: number;
}

/** An agent that only sends heartbeats. */
interface HeartbeatSource {
  readonly server: NodeServer;
  readonly address: string;
  readonly timer: NodeJS.Timeout;
}

function refuseCall(): never {
  throw new Error('only heartbeats are served here');
}

function createHeartbeat(endpoints: number): AgentHeartbeat {
  return {
    agent: 'agent-briefing-lm-0001',
    failureDomain: 'attica-a',
    incarnation: '0190f3a1-7c3e-7b1a-9f00-1c2d3e4f5a6b',
    tick: 123_456_789,
    rulesRevision: 1_200,
    quarantined: [],
    leaving: false,
    versionHeads: [{service: 'briefing-lm', version: 120}],
    suspicions: [],
    endpoints: Array.from({length: endpoints}, (_, index) => ({
      name: `briefing-lm-${index}`,
      service: 'briefing-lm',
      state: 'serving',
      running: 8,
      queued: 12,
      slots: 8,
      kvUsePermille: 700,
      weightVersion: 120,
      queuedTokens: 4_000,
      tokensPerSecond: 40,
    })),
  };
}

async function startHeartbeatSource(
  endpoints: number,
): Promise<HeartbeatSource> {
  const writers = new Set<MessageWriter<AgentHeartbeat>>();
  const handlers: AgentHandlers = {
    run: refuseCall,
    resume: refuseCall,
    revoke: refuseCall,
    acknowledge: refuseCall,
    listAnswers: refuseCall,
    fetchRules: refuseCall,
    offerRules: refuseCall,
    fetchWeights: refuseCall,
    drain: refuseCall,
    watch: (_, writer) => {
      writers.add(writer);
    },
  };
  const server = NodeServer.createAgent(handlers);
  const address = await server.listen({host: '127.0.0.1', port: 0});
  const heartbeat = createHeartbeat(endpoints);
  const timer = setInterval(() => {
    for (const writer of writers) writer.send(heartbeat);
  }, HEARTBEAT_INTERVAL_MS);
  return {server, address: `127.0.0.1:${address.port}`, timer};
}

/** Starts a TCP proxy that counts bytes; returns its address. */
function startCountingProxy(
  target: string,
  byteCounter: ByteCounter,
): Promise<string> {
  const [host, port] = target.split(':');
  const server = createServer(socket => {
    const upstream = connect(Number(port), host);
    for (const [from, to] of [
      [socket, upstream],
      [upstream, socket],
    ]) {
      from.on('data', (data: Buffer) => {
        byteCounter.bytes += data.length;
        to.write(data);
      });
      from.on('error', () => to.destroy());
      from.on('close', () => to.destroy());
    }
  });
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      server.unref();
      if (address !== null && typeof address === 'object') {
        resolve(`127.0.0.1:${address.port}`);
      }
    });
  });
}

/**
 * Measures heartbeats of `agents` agents with `endpoints` endpoints each:
 * bytes per heartbeat through a proxy, or CPU time per heartbeat and memory per
 * agent without one.
 */
async function measureWatch(
  agents: number,
  endpoints: number,
  isProxied: boolean,
): Promise<Readonly<Record<string, number>>> {
  const rssBefore = process.memoryUsage().rss;
  const byteCounter: ByteCounter = {bytes: 0};
  let received = 0;
  const sources: HeartbeatSource[] = [];
  const clients: AgentClient[] = [];
  for (let i = 0; i < agents; i++) {
    const source = await startHeartbeatSource(endpoints);
    const {address} = source;
    const target = isProxied
      ? await startCountingProxy(address, byteCounter)
      : address;
    const client = AgentClient.create(target);
    client.watch(
      {node: 'entry-1', rulesRevision: 1},
      {receiveMessage: () => (received += 1), handleLoss: () => undefined},
    );
    sources.push(source);
    clients.push(client);
  }
  await waitMs(WARM_UP_MS);
  const [startUs, startBytes, startReceived] = [
    readCpuUs(),
    byteCounter.bytes,
    received,
  ];
  await waitMs(MEASUREMENT_MS);
  const heartbeats = received - startReceived;
  const cpuUs = (readCpuUs() - startUs) / heartbeats;
  const bytes = (byteCounter.bytes - startBytes) / heartbeats;
  const rssKb = (process.memoryUsage().rss - rssBefore) / agents / 1_000;
  for (const client of clients) client.close();
  for (const source of sources) {
    clearInterval(source.timer);
    source.server.destroy();
  }
  return isProxied ? {bytes} : {cpuUs, rssKb};
}

/**
 * Measures CPU time and memory by number of agents, then bytes by endpoints per
 * agent.
 */
export async function measureHeartbeats(): Promise<CostMeasurement[]> {
  const measurements: CostMeasurement[] = [];
  for (const size of WATCHED_AGENTS) {
    const figures = await measureWatch(size, 1, false);
    measurements.push({name: 'heartbeat, watched agents', size, figures});
  }
  for (const size of ENDPOINTS_PER_AGENT) {
    const figures = await measureWatch(4, size, true);
    measurements.push({
      name: 'heartbeat, endpoints of an agent',
      size,
      figures,
    });
  }
  return measurements;
}
