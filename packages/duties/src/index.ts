/** Duties towards the cloud that one node performs for all. */
export * from './cloud_port';
export * from './coordinator_duties';
export * from './duty_holder';
export * from './usage_messages';
export * from './usage_pusher';
export * from './usage_reporter';
