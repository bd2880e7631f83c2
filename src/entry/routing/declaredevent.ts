import type { ServiceDocument } from '../../core/document/index.js';
import type { RoutingEvent } from '../../core/routing/index.js';

/** Returns the event that declares a document's upstreams and models to routing. */
export function declaredEvent({
  groups,
  models,
}: ServiceDocument): Extract<RoutingEvent, { type: 'declared' }> {
  const upstreams = (groups ?? []).flatMap((group) =>
    group.upstreams.map(({ id, sidecarAddress }) => ({
      id,
      sidecarAddress,
      availabilityZone: group.availabilityZone,
      type: group.type ?? 'engine',
      slots: group.slots ?? 1,
      kinds: (group.routes ?? []).map(({ kind }) => kind),
    })),
  );
  const sizes = (models ?? []).map(({ id, sizeBytes }) => ({ id, sizeBytes: sizeBytes ?? 0 }));
  return { type: 'declared', upstreams, models: sizes };
}
