/** Translation of Kubernetes Gateway API manifests to configuration files. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { fromManifests } from '@tillerstair/ctl';
import { checkConfig } from '@tillerstair/state';

const manifests = suite('translation of Gateway API manifests');

const gateway = `apiVersion: gateway.networking.k8s.io/v1
kind: Gateway
metadata: { name: door }
spec:
  gatewayClassName: tillerstair
  listeners: [{ name: http, port: 80, protocol: HTTP }]
`;
const route = (
  specFields = '',
  ruleFields = '',
  kind = 'turn',
): string => `apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: { name: chat, annotations: { tillerstair/kind: ${kind} } }
spec:
  parentRefs: [{ name: door }]
  ${specFields}
  rules:
    - matches: [{ path: { type: PathPrefix, value: /chat } }]
      backendRefs: [{ name: new-models, weight: 7 }, { name: old-models, weight: 3 }]
      ${ruleFields}
`;

manifests(
  'weights become shares, backends become pools, and the file is a valid configuration',
  () => {
    const { text, findings } = fromManifests(
      [{ file: 'a.yaml', text: `${gateway}---\n${route()}` }],
      4,
    );
    assert.equal(findings, []);
    const { config } = checkConfig(text ?? '');
    assert.is(config?.base, 4);
    assert.equal(
      config?.pools.map((pool) => `${pool.name} ${pool.kind}`),
      ['new-models model', 'old-models model'],
    );
    assert.equal(
      config?.routes[0]?.shares.map((share) => `${share.pool} ${share.share}`),
      ['new-models 7', 'old-models 3'],
    );
  },
);

manifests('unsupported fields and kinds are reported with their places, all at once', () => {
  const cases: readonly (readonly [string, readonly string[]])[] = [
    [
      `${gateway}---\n${route('hostnames: [x.example]')}`,
      ['a.yaml document 2 HTTPRoute/chat spec', 'hostnames'],
    ],
    [
      `${gateway}---\n${route('', 'filters: [{ type: RequestMirror }]')}`,
      ['HTTPRoute/chat spec.rules[0]', 'filters'],
    ],
    [`${gateway}---\n${route('', '', 'stream')}`, ['metadata.annotations', 'tillerstair/kind']],
    [
      `${gateway}---\n${route().replace('PathPrefix', 'Exact')}`,
      ['spec.rules[0].matches[0].path.type'],
    ],
    [
      `${gateway}---\n${route().replace('weight: 7', 'weight: -1')}`,
      ['spec.rules[0].backendRefs[0].weight'],
    ],
    [`${gateway}---\n${route().replace('gateway.networking.k8s.io/v1', 'v1')}`, ['apiVersion']],
    [
      gateway.replace('protocol: HTTP', 'protocol: TLS') + `---\n${route()}`,
      ['Gateway/door spec.listeners[0].protocol', 'no Gateway door'],
    ],
    [route(), ['spec.parentRefs[0].name', 'no Gateway door']],
    [`${gateway}---\nkind: TCPRoute\nmetadata: { name: t }\n`, ['TCPRoute/t', 'not supported']],
    [`${gateway}---\nkind: [`, ['line', 'column']],
    [
      `${gateway}---\n${route()}---\n${route('', '', 'turn').replace('name: chat', 'name: again')}`,
      ['routes[1].match', 'already takes'],
    ],
    [`${gateway}---\n- 3\n`, ['a.yaml document 2']],
    [gateway, ['there is no HTTPRoute']],
  ];
  for (const [text, expectedParts] of cases) {
    const result = fromManifests([{ file: 'a.yaml', text }], 0);
    assert.is(result.text, undefined, text);
    const report = result.findings.map((finding) => `${finding.place}: ${finding.text}`).join('\n');
    for (const part of expectedParts) assert.ok(report.includes(part), `${part} in: ${report}`);
  }
});

manifests.run();
