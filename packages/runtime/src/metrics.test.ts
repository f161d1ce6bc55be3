import {Metrics} from './metrics';

test('formats help, type, escaped labels, sums and counts', () => {
  const metrics = Metrics.create();
  metrics.addCount('retries_total', {kind: 'agent-lost'});
  metrics.addCount('retries_total', {kind: 'a "b"\\\nc'}, 2);
  metrics.setGauge('open_requests', {}, 3);
  for (const ms of [1, 2, 97]) metrics.recordMs('run_ms', {service: 'a'}, ms);
  expect(metrics.formatPrometheus()).toMatchSnapshot();
});
