/** HTTP pages for operators and for the load balancer's health checks. */
import {createError} from '@sassafrasspan/core';
import type {DecisionLog} from './decision_log';
import {Route, sendError, sendJson, sendText} from './http_server';
import type {Metrics} from './metrics';

const PROMETHEUS_TYPE = 'text/plain; version=0.0.4';

/** Data that the pages show. */
export interface OperatorsBackend {
  /** Name of the node. */
  readonly node: string;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  /** Returns whether the process accepts work. */
  isReady(): boolean;
  /** Returns the state of the process as JSON data. */
  describeStatus(): object;
  /**
   * Returns the good and bad events of each promise (service-level objective),
   * for error-budget burn rates. Absent in processes that don't count them.
   */
  describeBurn?(): object;
}

/** Creates the routes that every node serves. */
export function createOperatorsRoutes(backend: OperatorsBackend): Route[] {
  return [
    {
      method: 'GET',
      path: '/health',
      handler: ({response}) => sendJson(response, 200, {healthy: true}),
    },
    {
      method: 'GET',
      path: '/ready',
      handler: ({response}) => {
        if (backend.isReady()) sendJson(response, 200, {ready: true});
        else sendError(response, createError('not-ready', 'not ready'));
      },
    },
    {
      method: 'GET',
      path: '/metrics',
      handler: ({response}) => {
        const {metrics, decisions} = backend;
        const outages = decisions.listOutages().length;
        metrics.setGauge('platform_parts_down', {}, outages);
        metrics.setGauge('ready', {}, backend.isReady() ? 1 : 0);
        sendText(response, PROMETHEUS_TYPE, metrics.formatPrometheus());
      },
    },
    {
      method: 'GET',
      path: '/status',
      handler: ({response}) => {
        const platform = backend.decisions.listOutages();
        const ready = backend.isReady();
        const status = {
          ...backend.describeStatus(),
          node: backend.node,
          ready,
          platform,
        };
        sendJson(response, 200, status);
      },
    },
    {
      method: 'GET',
      path: '/burn',
      handler: ({response}) => {
        const burn = backend.describeBurn?.() ?? {promises: []};
        sendJson(response, 200, {node: backend.node, ...burn});
      },
    },
    {
      method: 'GET',
      path: '/explain/:request',
      handler: ({response, params}) => {
        const decisions = backend.decisions.listDecisions(params.request);
        sendJson(response, 200, {node: backend.node, decisions});
      },
    },
  ];
}
