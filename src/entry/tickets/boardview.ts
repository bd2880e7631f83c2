import type { Incarnation, UpstreamId } from '../../base/index.js';
import type { RouteView } from '../../core/idempotency/index.js';
import type { Board } from '../../shell/board/index.js';
import { Heir } from '../../wire/index.js';

/** The view of one service's sidecars that locating tickets requires, taken from the board. */
export function boardView(board: Board, service: string): RouteView {
  return {
    incarnationOf: (upstream) =>
      (board.get(`upstream/${service}/${upstream}`)?.epoch ?? 0) as Incarnation,

    heirOf({ upstream, incarnation }) {
      const record = board.get(`heir/${service}/${upstream}`);
      if (record?.epoch !== incarnation) return undefined;
      const heir = Heir.decode(record.value);
      return {
        upstream: heir.upstream as UpstreamId,
        incarnation: heir.incarnation as Incarnation,
      };
    },
  };
}
