import type { ModelId, Ms, RequestId } from '../../base/index.js';
import type { Route } from '../../core/routetable/index.js';

/** A stream of which no other entry has been told. */
interface PendingCopy {
  readonly route: Route;
  readonly model: ModelId | undefined;
  readonly untilMs: Ms;
}

type Group = Pick<PendingCopy, 'route' | 'model'>;

function groupKey({ route, model }: Group): string {
  return `${route.host}${route.pathPrefix} ${model ?? ''}`;
}

/** Streams whose origin other entries can infer, until several origins become possible. */
export class PendingCopies {
  private readonly groups = new Map<string, Map<RequestId, PendingCopy>>();

  add(id: RequestId, pending: PendingCopy): void {
    const key = groupKey(pending);
    const group = this.groups.get(key) ?? new Map<RequestId, PendingCopy>();
    this.groups.set(key, group);
    group.set(id, pending);
  }

  delete(id: RequestId, group: Group): void {
    this.groups.get(groupKey(group))?.delete(id);
  }

  /** Removes and returns the streams of routes and models of which the condition holds; forgets those that expired. */
  take(isMeant: (group: Group) => boolean, nowMs: Ms): RequestId[] {
    const taken: RequestId[] = [];
    for (const [key, group] of this.groups) {
      for (const [id, { untilMs }] of group) {
        if (untilMs > nowMs) break;
        group.delete(id);
      }
      const [first] = group.values();
      if (first && !isMeant(first)) continue;
      taken.push(...group.keys());
      this.groups.delete(key);
    }
    return taken;
  }
}
