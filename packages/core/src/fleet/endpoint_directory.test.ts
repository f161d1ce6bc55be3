/** Endpoints that say in their answers that they leave. */
import {EndpointDirectory, EndpointEntry} from './endpoint_directory';

function createEndpoint(startedAtMs: number): EndpointEntry {
  return {
    id: 'e',
    service: 's',
    software: 's',
    address: '127.0.0.1:1',
    failureDomain: 'a',
    slots: 4,
    isDraining: false,
    coldRemainingMs: 0,
    startedAtMs,
    versions: new Map(),
  };
}

// Guards against requests to servers that exit while their registration is not read.
test('an endpoint that says that it leaves gets no new work in that life', () => {
  const directory = EndpointDirectory.create();
  const count = () => directory.listUsable('s').length;
  const endpoint = createEndpoint(1);
  directory.put(endpoint);
  const counts = {atFirst: count()};
  const isNews = [directory.markLeaving(endpoint)];
  isNews.push(directory.markLeaving(endpoint));
  const marked = count();
  directory.put(createEndpoint(1));
  const registeredAgain = count();
  directory.remove('e', 0);
  directory.put(createEndpoint(1));
  const returned = count();
  directory.put(createEndpoint(2));
  expect({...counts, isNews, marked, registeredAgain, returned}).toEqual({
    atFirst: 1,
    isNews: [true, false],
    marked: 0,
    registeredAgain: 0,
    returned: 0,
  });
  expect(count()).toBe(1);
});

test('a leaving endpoint of an earlier life says nothing about the present one', () => {
  const directory = EndpointDirectory.create();
  directory.put(createEndpoint(2));
  directory.markLeaving(createEndpoint(1));
  expect(directory.listUsable('s')).toHaveLength(1);
});
