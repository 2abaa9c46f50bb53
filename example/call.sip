INVITE sip:7f3a9c21e0b4d655@net SIP/2.0
Via: SIP/2.0/TCP example
Call-ID: 9b1f03aa5c7e2d41
CSeq: 1 INVITE
X-Tier: round-update
X-Deadline: 1500
X-Attrs: dest:1;width:1;via:-1
Content-Length: 5

v=0
